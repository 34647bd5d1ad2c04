/** What the parts of an entry share while it is composed. */
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

/** Options of an entry. */
export interface EntryOptions {
  readonly settings: Settings;
  readonly logger: Logger;
  /** Ends the process when the disk can no longer be trusted. */
  readonly onFatal: (failure: Failure) => void;
}

/** Adapters of the machine that every part uses. */
export interface EntryBase extends EntryOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly secrets: Secrets;
  readonly metrics: PrometheusMetrics;
  readonly tasks: TaskGroup;
}

/** The base, joined by the network and the agreement. */
export interface EntryContext extends EntryBase {
  readonly network: PeerNetwork;
  readonly agreement: Agreement;
  readonly entries: EntryDirectory;
  readonly fleet: FleetIndexCache;
}

/**
 * Creates the adapters of the machine.
 *
 * @param options - Settings, logger, and what to do on a fatal failure.
 * @returns The base that the other parts are built on.
 */
export function createBase(options: EntryOptions): EntryBase {
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
 * Joins the base with network and agreement.
 *
 * @param base - The adapters of the machine.
 * @param network - Calls between entries.
 * @param agreement - The replicated state.
 * @returns The context of the services.
 */
export function createContext(
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
