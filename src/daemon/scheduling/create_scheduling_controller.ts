/** Composes a controller: a voter that schedules while it leads. */
import { Result } from "true-myth";
import { FileLogStore, NodeFileSystem } from "../../adapters/disk/index.ts";
import type { Failure } from "../../domain/index.ts";
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
  OperationsService,
  RecordingOperationMeter,
  SchedulingLog,
} from "../../services/scheduling/index.ts";
import { Notifier } from "../../tasks/index.ts";
import {
  createSchedulingBase,
  type SchedulingBase,
  type SchedulingProcessOptions,
} from "./scheduling_base.ts";
import { serveInspection } from "./serve_inspection.ts";
import { type LeaderParts, startLeading } from "./start_leading.ts";

/** Options of {@link createSchedulingController}. */
export interface SchedulingControllerOptions extends SchedulingProcessOptions {
  readonly dataFolder: string;
  /** Whether the deployment starts for the first time. */
  readonly mayBootstrap: boolean;
  readonly runners: RunnerClient;
  /** Absent where VMs cannot be moved or maintained. */
  readonly vms: VmControl | undefined;
  /** Absent where no queue needs advice. */
  readonly advice: AdviceClient | undefined;
  /** Ends the process when the disk can no longer be trusted. */
  readonly onFatal: (failure: Failure) => void;
}

/** A running controller, without the interface that operators use. */
export interface SchedulingController extends SchedulingBase {
  readonly replica: Replica;
  readonly caller: ControllerLeaderClient;
  readonly leader: LeaderClient;
}

/**
 * How late followers may hear of commits, in milliseconds: only the leader
 * serves, so that a second answer for each entry would be wasted work.
 */
const COMMIT_NEWS_DELAY_MS = 100;

/**
 * Starts a controller.
 *
 * @param options - Identity, peers, disk, and the clients it gives orders by.
 * @returns The controller, or the failure of its disk.
 */
export async function createSchedulingController(
  options: SchedulingControllerOptions,
): Promise<Result<SchedulingController, Failure>> {
  let leading: LeaderParts | undefined;
  const base = createSchedulingBase(options, () => leading?.readGauges());
  const loaded = await loadReplica(base, options);
  if (loaded.isErr) {
    return Result.err(loaded.error);
  }
  const replica = loaded.value;
  const { clock, logger, network, tasks } = base;
  const meter = new RecordingOperationMeter(base.metrics);
  const log = new SchedulingLog({ agreement: replica, clock, meter });
  const changed = new Notifier();
  const handlers = addSchedulingHandlers({
    network,
    agreement: replica,
    jobs: new JobService({ log, logger }),
    operations: new OperationsService({ log, clock, logger }),
    findRegistry: () => leading?.registry,
    findExplainer: () => leading?.explainer,
  });
  const leader = new LeaderClient({
    ...base,
    controllerIds: options.seedIds.filter((id) => id !== options.entryId),
  });
  const caller = new ControllerLeaderClient({
    agreement: replica,
    leader,
    handlers,
  });
  const lead = new LeadershipTask({
    agreement: replica,
    clock,
    logger,
    startLeading: (term, group) => {
      leading = startLeading({
        ...base,
        ...options,
        log,
        changed,
        fencingToken: term,
        group,
      });
    },
    stopLeading: () => {
      leading = undefined;
    },
  });
  const calls = new JobCallForwarder({ ...base, leader: caller });
  await serveInspection({ base, calls, leader: caller });
  await network.start();
  replica.start(tasks);
  tasks.startForever(
    "log feed",
    (signal) => followLog({ agreement: replica, changed, clock }, signal),
  );
  tasks.startForever("leadership", (signal) => lead.run(signal));
  return Result.ok({ ...base, replica, caller, leader });
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
    commitNotificationDelayMs: COMMIT_NEWS_DELAY_MS,
    commitRule: new MajorityCommitRule(),
    store: new FileLogStore({ ...base, files, onSyncFailure: onFatal }),
  });
}
