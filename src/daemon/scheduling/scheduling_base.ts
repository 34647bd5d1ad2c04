/** What the processes of a scheduling deployment share. */
import { SystemClock } from "../../adapters/clock/index.ts";
import { PrometheusSchedulingMetrics } from "../../adapters/metrics/prometheus_scheduling_metrics.ts";
import { NoopMetrics } from "../../adapters/metrics/noop_metrics.ts";
import { TcpPeerNetwork } from "../../adapters/peer/index.ts";
import { SeededRandom } from "../../adapters/random/index.ts";
import type {
  Clock,
  Logger,
  Random,
  SchedulingGauges,
} from "../../ports/index.ts";
import { TaskGroup } from "../../tasks/index.ts";

/**
 * Secret of the links where the platform hands out none. It keeps apart
 * deployments that are set up alike, and protects nothing: see
 * docs/decisions/0008-platform.md.
 */
const OPEN_SECRET = "cardamomsill-without-a-secret";

/** Host and port of a server. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Options of one process. */
export interface SchedulingProcessOptions {
  /** Address of the machine, by which its peers find it. */
  readonly entryId: string;
  /** Port at which every controller listens for its peers. */
  readonly peerPort: number;
  /** Addresses of controllers that are known from the settings. */
  readonly seedIds: readonly string[];
  readonly logger: Logger;
  /** Where metrics, jobs and explanations are served; absent for nowhere. */
  readonly inspectionAddress?: ListenAddress | undefined;
  /** Reads how many lines of the log were dropped. */
  readonly readDroppedLineCount: () => number;
}

/** Adapters that every process uses. */
export interface SchedulingBase extends SchedulingProcessOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly tasks: TaskGroup;
  readonly network: TcpPeerNetwork;
  readonly metrics: PrometheusSchedulingMetrics;
}

/**
 * Creates the adapters.
 *
 * @param options - Identity, peers and logger.
 * @param readGauges - Reads what the process keeps while it leads.
 */
export function createSchedulingBase(
  options: SchedulingProcessOptions,
  readGauges: () => SchedulingGauges | undefined = () => undefined,
): SchedulingBase {
  const { entryId, peerPort, logger } = options;
  const clock = new SystemClock();
  const tasks = new TaskGroup({ clock, logger });
  const network = new TcpPeerNetwork({
    entryId,
    secret: OPEN_SECRET,
    host: entryId,
    port: peerPort,
    peers: [],
    findPeer: (peerId) => ({ entryId: peerId, host: peerId, port: peerPort }),
    clock,
    logger,
    metrics: new NoopMetrics(),
    tasks,
  });
  return {
    ...options,
    clock,
    random: SeededRandom.withRandomSeed(),
    tasks,
    network,
    metrics: new PrometheusSchedulingMetrics({ ...options, readGauges }),
  };
}
