/** The dependencies that the components of an entry share. */
import { FleetIndexCache } from "../decisions/index.ts";
import { SystemClock } from "../adapters/clock/index.ts";
import { PrometheusMetrics } from "../adapters/metrics/index.ts";
import { SeededRandom } from "../adapters/random/index.ts";
import { ShaSecrets } from "../adapters/secrets/index.ts";
import type { Failure } from "../domain/index.ts";
import type {
  Agreement,
  Clock,
  EntryDirectory,
  Logger,
  PeerNetwork,
  Random,
  Secrets,
} from "../ports/index.ts";
import { TaskGroup } from "../tasks/index.ts";
import type { Settings } from "./settings/index.ts";

/** Settings, logger and failure handler of an entry. */
export interface EntryOptions {
  readonly settings: Settings;
  readonly logger: Logger;
  /** Called when the disk can no longer be trusted; must end the process. */
  readonly onFatal: (failure: Failure) => void;
}

/** Settings and adapters that exist before the network and the replica. */
export interface EntryBase extends EntryOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly secrets: Secrets;
  readonly metrics: PrometheusMetrics;
  readonly tasks: TaskGroup;
}

/** Settings, adapters, network and replicated state of an entry. */
export interface EntryContext extends EntryBase {
  readonly network: PeerNetwork;
  readonly agreement: Agreement;
  readonly entries: EntryDirectory;
  readonly fleet: FleetIndexCache;
}

/**
 * Creates the adapters that need neither the network nor the replica.
 *
 * @param options - Settings, logger and the handler of fatal failures.
 * @returns The options together with the adapters.
 */
export function createEntryBase(options: EntryOptions): EntryBase {
  const clock = new SystemClock();
  return {
    ...options,
    clock,
    random: SeededRandom.withRandomSeed(),
    secrets: new ShaSecrets(),
    metrics: new PrometheusMetrics(),
    tasks: new TaskGroup({ clock, logger: options.logger }),
  };
}

/**
 * Adds the network, the replicated state and the fleet index to the base.
 *
 * @param base - Settings and adapters of the entry.
 * @param network - The network to the other entries.
 * @param agreement - The replicated state.
 * @returns The context that the services are built from.
 */
export function createEntryContext(
  base: EntryBase,
  network: PeerNetwork,
  agreement: Agreement & EntryDirectory,
): EntryContext {
  return {
    ...base,
    network,
    agreement,
    entries: agreement,
    fleet: new FleetIndexCache(() => agreement.state),
  };
}
