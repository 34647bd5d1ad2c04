/** Options and adapters that all processes of a scheduling deployment share. */
import { SystemClock } from "../../adapters/clock/index.ts";
import { PrometheusSchedulingMetrics } from "../../adapters/metrics/prometheus_scheduling_metrics.ts";
import { NoopMetrics } from "../../adapters/metrics/noop_metrics.ts";
import { TcpPeerNetwork } from "../../adapters/peer/index.ts";
import { NodeProcessUsage } from "../../adapters/process/index.ts";
import { SeededRandom } from "../../adapters/random/index.ts";
import type { ConnectionLimits } from "../../domain/index.ts";
import type {
  Clock,
  Logger,
  ProcessUsage,
  Random,
  SchedulingGauges,
} from "../../ports/index.ts";
import { EventLoopWatch } from "../../services/scheduling/index.ts";
import { TaskGroup } from "../../tasks/index.ts";

/**
 * Fixed secret of the peer network, used because the platform provides none. It
 * only rejects connections from deployments with another secret, and protects
 * nothing: see docs/decisions/0008-platform.md.
 */
const PLACEHOLDER_SECRET = "cardamomsill-without-a-secret";

/** Host and port of a server. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Options that every process of a scheduling deployment has. */
export interface SchedulingProcessOptions {
  /** Host of this machine, at which its peers reach it. */
  readonly entryId: string;
  /** Port on which every controller listens for its peers. */
  readonly peerPort: number;
  /** Hosts of the controllers that the settings name. */
  readonly seedIds: readonly string[];
  readonly logger: Logger;
  /** Where metrics, jobs and explanations are served; undefined for nowhere. */
  readonly inspectionAddress?: ListenAddress | undefined;
  /** Limits of each HTTP interface of the process. */
  readonly connectionLimits: ConnectionLimits;
  /** Returns how many log lines were dropped. */
  readonly readDroppedLineCount: () => number;
}

/** Options and adapters that every process uses. */
export interface SchedulingBase extends SchedulingProcessOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly tasks: TaskGroup;
  readonly network: TcpPeerNetwork;
  readonly usage: ProcessUsage;
  readonly metrics: PrometheusSchedulingMetrics;
  readonly eventLoop: EventLoopWatch;
}

/** What the process does, for its metrics and log lines. */
export interface ProcessRole {
  readonly role: "controller" | "entry";
  /** Returns the gauges of the leader; undefined while this process isn't it. */
  readonly readGauges: () => SchedulingGauges | undefined;
  /** Returns whether this process leads. */
  readonly isLeading: () => boolean;
}

/**
 * Creates the adapters of a process and starts the watch of its event loop.
 *
 * @param options - Identity, peers, logger and inspection address.
 * @param processRole - Role of the process.
 * @returns The options together with the adapters.
 */
export function createSchedulingBase(
  options: SchedulingProcessOptions,
  processRole: ProcessRole,
): SchedulingBase {
  const { entryId, peerPort, logger } = options;
  const clock = new SystemClock();
  const tasks = new TaskGroup({ clock, logger });
  const network = new TcpPeerNetwork({
    entryId,
    secret: PLACEHOLDER_SECRET,
    host: entryId,
    port: peerPort,
    peers: [],
    findPeer: (peerId) => ({ entryId: peerId, host: peerId, port: peerPort }),
    clock,
    logger,
    metrics: new NoopMetrics(),
    tasks,
  });
  const usage = new NodeProcessUsage();
  const metrics = new PrometheusSchedulingMetrics({
    ...options,
    ...processRole,
    usage,
  });
  const eventLoop = new EventLoopWatch({
    ...processRole,
    clock,
    logger,
    usage,
    metrics,
  });
  tasks.startForever("event loop watch", (signal) => eventLoop.run(signal));
  return {
    ...options,
    clock,
    random: SeededRandom.withRandomSeed(),
    tasks,
    network,
    usage,
    metrics,
    eventLoop,
  };
}
