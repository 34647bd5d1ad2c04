/** Composes a scheduling controller: a voter that schedules jobs while it leads. */
import { Result } from "true-myth";
import { FileLogStore, NodeFileSystem } from "../../adapters/disk/index.ts";
import type { Failure, RunnerBounds } from "../../domain/index.ts";
import type {
  AdviceClient,
  RunnerClient,
  VmControl,
} from "../../ports/index.ts";
import { MajorityCommitRule, Replica } from "../../replication/index.ts";
import {
  addSchedulingHandlers,
  ControllerLeaderClient,
  followLog,
  JobCallForwarder,
  JobService,
  LeaderClient,
  LeadershipTask,
  LeaderWork,
  OperationsService,
  RecordingOperationMeter,
  RelayedRunnerClient,
  RunnerAnnouncer,
  RunnerRelay,
  SchedulingLog,
  WatchedLogStore,
  ZoneOrderSender,
} from "../../services/scheduling/index.ts";
import { Notifier } from "../../tasks/index.ts";
import {
  createSchedulingBase,
  type SchedulingBase,
  type SchedulingProcessOptions,
} from "./scheduling_base.ts";
import { serveInspection } from "./serve_inspection.ts";
import { type LeaderServices, startLeading } from "./start_leading.ts";

/** Options of {@link createSchedulingController}. */
export interface SchedulingControllerOptions extends SchedulingProcessOptions {
  readonly dataFolder: string;
  /** Whether this controller may bootstrap a new deployment. */
  readonly mayBootstrap: boolean;
  readonly runners: RunnerClient;
  /** What the platform guarantees about runners. */
  readonly bounds: RunnerBounds;
  /** Undefined where VMs cannot be moved or maintained. */
  readonly vms: VmControl | undefined;
  /** Undefined where no queue needs advice. */
  readonly advice: AdviceClient | undefined;
  /** Called when the disk can no longer be trusted; must end the process. */
  readonly onFatal: (failure: Failure) => void;
}

/** A running controller, without the HTTP interface for operators. */
export interface SchedulingController extends SchedulingBase {
  readonly replica: Replica;
  /** Takes the announcements of runners. */
  readonly announcer: RunnerAnnouncer;
  /** Takes the operators' orders about zones. */
  readonly zoneOrders: ZoneOrderSender;
  /** Calls the leader, which may be this controller. */
  readonly leaderClient: ControllerLeaderClient;
  /** Calls the leader among the other controllers. */
  readonly remoteLeaderClient: LeaderClient;
}

/**
 * How long the leader may delay a response that reports only a new commit index,
 * in milliseconds. Followers do not serve requests from their state, so a second
 * response for each log entry would be wasted work.
 */
const COMMIT_NOTIFICATION_DELAY_MS = 100;
/**
 * Least time between two batches of the log, in milliseconds: a few network
 * round trips, and far less than a task's run.
 */
const BATCH_INTERVAL_MS = 20;

/**
 * Starts a controller.
 *
 * @param options - Identity, peers, data folder, and the clients of the runners,
 * the VM control and the advice service.
 * @returns The running controller, or the failure of its disk.
 */
export async function createSchedulingController(
  options: SchedulingControllerOptions,
): Promise<Result<SchedulingController, Failure>> {
  let leaderServices: LeaderServices | undefined;
  const base = createSchedulingBase(options, {
    role: "controller",
    readGauges: () => leaderServices?.readGauges(),
    isLeading: () => leaderServices !== undefined,
  });
  const loaded = await loadReplica(base, options);
  if (loaded.isErr) {
    return Result.err(loaded.error);
  }
  const replica = loaded.value;
  const { clock, logger, metrics, network, tasks } = base;
  const meter = new RecordingOperationMeter({ metrics, logger });
  const work = new LeaderWork(base);
  const logOptions = { agreement: replica, clock, meter, metrics: work };
  const log = new SchedulingLog(logOptions);
  const changed = new Notifier();
  const handlers = addSchedulingHandlers({
    network,
    agreement: replica,
    metrics: work,
    jobs: new JobService({
      log,
      logger,
      findAdmission: () => leaderServices?.admission,
    }),
    operations: new OperationsService({ log, clock, logger }),
    findRegistry: () => leaderServices?.registry,
    findZones: () => leaderServices?.zones,
    findExplainer: () => leaderServices?.explainer,
    findPlacements: () => leaderServices?.placements,
  });
  const remoteLeaderClient = new LeaderClient({
    ...base,
    controllerIds: options.seedIds.filter((id) => id !== options.entryId),
  });
  const leaderClient = new ControllerLeaderClient({
    agreement: replica,
    leader: remoteLeaderClient,
    handlers,
  });
  new RunnerRelay({ ...base, client: options.runners });
  const runners = new RelayedRunnerClient({
    ...base,
    direct: options.runners,
    sessionId: base.random.nextId(),
    listRelayIds: () => replica.listRunningVoterIds(),
    countRunners: () => log.state.runners.size,
  });
  const leadershipTask = new LeadershipTask({
    agreement: replica,
    clock,
    logger,
    startLeading: (term, group) => {
      leaderServices = startLeading({
        ...base,
        ...options,
        runners,
        work,
        log: new SchedulingLog({ ...logOptions, term }),
        changed,
        fencingToken: term,
        group,
      });
    },
    stopLeading: () => {
      leaderServices = undefined;
    },
  });
  const calls = new JobCallForwarder({ ...base, leader: leaderClient });
  await serveInspection({ base, calls, leader: leaderClient });
  await network.start();
  replica.start(tasks);
  tasks.startForever(
    "log feed",
    (signal) => followLog({ agreement: replica, changed, clock }, signal),
  );
  const announcer = new RunnerAnnouncer({
    agreement: replica,
    leader: leaderClient,
    clock,
    logger,
  });
  tasks.startForever("announcements", (signal) => announcer.run(signal));
  tasks.startForever("leadership", (signal) => leadershipTask.run(signal));
  return Result.ok({
    ...base,
    replica,
    announcer,
    zoneOrders: new ZoneOrderSender({ ...base, leader: leaderClient }),
    leaderClient,
    remoteLeaderClient,
  });
}

async function loadReplica(
  base: SchedulingBase,
  options: SchedulingControllerOptions,
): Promise<Result<Replica, Failure>> {
  const { entryId, seedIds, dataFolder, mayBootstrap, onFatal } = options;
  const files = await NodeFileSystem.load(dataFolder);
  return await Replica.load({
    ...base,
    entryId,
    hasDisk: true,
    wantsVote: true,
    peerIds: seedIds.filter((id) => id !== entryId),
    initialVoterIds: seedIds,
    mayBootstrap,
    admitsMembers: true,
    commitNotificationDelayMs: COMMIT_NOTIFICATION_DELAY_MS,
    batchIntervalMs: BATCH_INTERVAL_MS,
    commitRule: new MajorityCommitRule(),
    store: new WatchedLogStore({
      ...base,
      store: new FileLogStore({ ...base, files, onSyncFailure: onFatal }),
    }),
  });
}
