/** Composes the tasks that a controller runs while it leads. */
import {
  BackOffPacePolicy,
  CyclicTurnOutlook,
  DemandCapacityPolicy,
  FailureTrustPolicy,
  HighestForecast,
  LeastCostOrderPolicy,
  LeastLossMaintenancePolicy,
  listReadySteps,
  RunDelays,
  RunnerPaces,
  ScoredPlacementPolicy,
  StartConditions,
  StartPlanner,
  type StepReference,
  TrendForecast,
  TurnForecast,
  UsefulResultPolicy,
} from "../../decisions/index.ts";
import type {
  JobState,
  Runner,
  RunnerBounds,
  RunnerIncarnation,
} from "../../domain/index.ts";
import type {
  AdviceClient,
  Clock,
  EventLoopDelays,
  Logger,
  RunnerClient,
  SchedulingGauges,
  VmControl,
} from "../../ports/index.ts";
import {
  AdviceTask,
  CapacityTask,
  JobAdmission,
  type LeaderWork,
  PaceTask,
  PlacementExplainer,
  PoolAccounts,
  PoolLoads,
  RoomWatch,
  RunnerFleet,
  RunnerRegistry,
  RunnerTrust,
  ScheduleExplainer,
  Scheduler,
  type SchedulingLog,
  StartConfirmer,
  WaveTask,
  ZoneService,
} from "../../services/scheduling/index.ts";
import type { Notifier, TaskGroup } from "../../tasks/index.ts";

/** Options of {@link startLeading}. */
export interface StartLeadingOptions {
  /** Id of this controller, which its orders about VMs carry as the holder. */
  readonly entryId: string;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Measures and logs what the leader does. */
  readonly work: LeaderWork;
  readonly eventLoop: EventLoopDelays;
  readonly log: SchedulingLog;
  readonly changed: Notifier;
  /** The leader's term, which no other leader has. */
  readonly fencingToken: number;
  readonly group: TaskGroup;
  readonly runners: RunnerClient;
  /** What the platform guarantees about runners. */
  readonly bounds: RunnerBounds;
  readonly vms: VmControl | undefined;
  readonly advice: AdviceClient | undefined;
}

/** The services of a leader that other components call. */
export interface LeaderServices {
  readonly registry: RunnerRegistry;
  readonly zones: ZoneService;
  readonly explainer: ScheduleExplainer;
  readonly admission: JobAdmission;
  readonly placements: PlacementExplainer;
  readonly readGauges: () => SchedulingGauges;
}

/**
 * Starts the tasks of a leader.
 *
 * @param given - The log, the clients, and the group that runs the tasks and
 * ends them when the leadership ends.
 * @returns The services that other components call.
 */
export function startLeading(given: StartLeadingOptions): LeaderServices {
  const options = { ...given, metrics: given.work };
  const { advice, entryId, group, runners: client, vms, work } = options;
  const delays = new RunDelays();
  const paces = new RunnerPaces();
  const order = new LeastCostOrderPolicy(delays);
  const findTicket = (
    task: StepReference,
    runner: Runner,
  ): string | undefined => adviceTask?.findTicket(task, runner);
  const conditions = new StartConditions({
    isCordoned: (runner) => isInMaintenance(runner) || isMoving(runner),
    findTicket,
  });
  const fleet: RunnerFleet = new RunnerFleet({
    ...options,
    conditions,
    delays,
    paces,
    client,
    findTicket,
  });
  const trust = new RunnerTrust({
    ...options,
    policy: new FailureTrustPolicy(),
  });
  const isInMaintenance = (runner: RunnerIncarnation): boolean =>
    waves?.isCordoned(runner) ?? false;
  const awaitsMaintenance = (runner: Runner): boolean =>
    waves?.awaitsMaintenance(runner) ?? false;
  const isMoving = (runner: Runner): boolean =>
    capacity?.isCordoned(runner) ?? false;
  const accounts = new PoolAccounts({
    ...options,
    fleet,
    mayPlaceOn: (runner) => scheduler.mayPlaceOn(runner),
    isSuspect: (runner) => trust.find(runner) !== undefined,
    isInMaintenance,
    isMoving,
  });
  const loads = new PoolLoads({
    ...options,
    accounts,
    awaitsMaintenance,
    isInMaintenance,
    forecast: new HighestForecast([
      new TurnForecast(),
      new TrendForecast(),
    ]),
    outlook: new CyclicTurnOutlook(),
  });
  const waves = vms === undefined ? undefined : new WaveTask({
    ...options,
    fleet,
    accounts,
    loads,
    vms,
    policy: new LeastLossMaintenancePolicy(),
    holderId: entryId,
  });
  const capacity = vms === undefined ? undefined : new CapacityTask({
    ...options,
    fleet,
    accounts,
    loads,
    vms,
    policy: new DemandCapacityPolicy(),
    holderId: entryId,
    isInMaintenance,
  });
  const scheduler: Scheduler = new Scheduler({
    ...options,
    planner: new StartPlanner({
      order,
      placement: new ScoredPlacementPolicy(),
    }),
    trust,
    paces,
    findStatus: (runner) => fleet.findStatus(runner),
    findApproved: (step) => adviceTask?.findApproved(step),
    conditions,
    awaitsMaintenance,
  });
  const adviceTask: AdviceTask | undefined = advice === undefined
    ? undefined
    : new AdviceTask({
      ...options,
      client: advice,
      order,
      mayPlaceOn: (runner) => scheduler.mayPlaceOn(runner),
    });
  const room = new RoomWatch({
    ...options,
    order,
    accounts,
    canMoveVms: vms !== undefined,
    mayPlaceOn: (runner) => scheduler.mayPlaceOn(runner),
  });
  const admission = new JobAdmission({
    ...options,
    policy: new UsefulResultPolicy(),
    room,
    delays,
  });
  const pace = new PaceTask({
    ...options,
    fleet,
    client,
    policy: new BackOffPacePolicy(),
  });
  // The keys are the names of the tasks in log lines.
  const tasksByName = {
    runners: fleet,
    scheduler,
    room,
    waves,
    capacity,
    advice: adviceTask,
    pace,
    confirmations: new StartConfirmer({ ...options, fleet }),
  };
  for (const [name, task] of Object.entries(tasksByName)) {
    if (task !== undefined) {
      group.startForever(name, (signal) => task.run(signal));
    }
  }
  const readLeaderGauges = () => ({
    ...readGauges(options, { fleet, accounts, room }),
    suspectRunnerCounts: trust.countByPool(),
    ...(vms === undefined ? {} : { poolNeeds: loads.listNeeds() }),
  });
  group.startForever("work", (signal) => work.report(readLeaderGauges, signal));
  return {
    registry: new RunnerRegistry({ ...options, client, fleet }),
    zones: new ZoneService(options),
    explainer: new ScheduleExplainer({
      ...options,
      findStatus: (runner) => fleet.findStatus(runner),
      mayPlaceOn: (runner) => scheduler.mayPlaceOn(runner),
      describeSuspicion: (runner) => trust.describe(runner),
      findSlowness: (runner) =>
        paces.findSlowness(runner, options.clock.nowMs()),
      describeDelay: (step) => room.describeDelay(step),
    }),
    admission,
    placements: new PlacementExplainer({
      ...options,
      planner: new StartPlanner({
        order,
        placement: new ScoredPlacementPolicy(),
      }),
      scheduler,
      room,
      admission,
    }),
    readGauges: readLeaderGauges,
  };
}

interface GaugeSources {
  readonly fleet: RunnerFleet;
  readonly accounts: PoolAccounts;
  readonly room: RoomWatch;
}

function readGauges(
  { clock, fencingToken, log }: StartLeadingOptions,
  { fleet, accounts, room }: GaugeSources,
): SchedulingGauges {
  const poolMillicores = accounts.sum();
  const openJobCounts = new Map<JobState, number>([
    ["queued", 0],
    ["running", 0],
  ]);
  for (const { state } of log.state.jobs.open) {
    openJobCounts.set(state, (openJobCounts.get(state) ?? 0) + 1);
  }
  return {
    term: fencingToken,
    catalogVersion: log.state.catalog.version,
    openJobCounts,
    runnerCounts: fleet.countConditions(),
    waitingTaskCounts: countWaitingTasks(log, clock.nowMs()),
    freeMillicores: new Map(
      [...poolMillicores].map((
        [pool, account],
      ) => [pool, account.get("free") ?? 0]),
    ),
    delayedStepCounts: room.countDelayedSteps(),
    poolMillicores,
  };
}

function countWaitingTasks(
  { state: { jobs, catalog } }: SchedulingLog,
  nowMs: number,
): ReadonlyMap<string, number> {
  const counts = new Map(catalog.pools.map(({ name }) => [name, 0]));
  for (const { pool, record } of listReadySteps(jobs, catalog, nowMs)) {
    counts.set(pool, (counts.get(pool) ?? 0) + record.waitingCount);
  }
  return counts;
}
