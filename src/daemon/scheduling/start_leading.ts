/** Composes what a controller does while it leads. */
import {
  BackOffPacePolicy,
  DemandCapacityPolicy,
  LeastLossMaintenancePolicy,
  PeriodicForecast,
  ScoredPlacementPolicy,
  SlackOrderPolicy,
  StartPlanner,
} from "../../decisions/index.ts";
import type { JobState, Runner } from "../../domain/index.ts";
import type {
  AdviceClient,
  Clock,
  Logger,
  RunnerClient,
  SchedulingGauges,
  VmControl,
} from "../../ports/index.ts";
import {
  AdviceTask,
  CapacityTask,
  PaceTask,
  RunnerFleet,
  RunnerRegistry,
  ScheduleExplainer,
  Scheduler,
  type SchedulingLog,
  WaveTask,
} from "../../services/scheduling/index.ts";
import type { Notifier, TaskGroup } from "../../tasks/index.ts";

/** Options of {@link startLeading}. */
export interface StartLeadingOptions {
  /** Name under which VMs are moved and maintained. */
  readonly entryId: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly log: SchedulingLog;
  readonly changed: Notifier;
  /** The term; no other leader has the same. */
  readonly fencingToken: number;
  readonly group: TaskGroup;
  readonly runners: RunnerClient;
  readonly vms: VmControl | undefined;
  readonly advice: AdviceClient | undefined;
}

/** What others need of a leader. */
export interface LeaderParts {
  readonly registry: RunnerRegistry;
  readonly explainer: ScheduleExplainer;
  readonly readGauges: () => SchedulingGauges;
}

/**
 * Starts the tasks of a leader in their group.
 *
 * @param options - The log, the clients, and the group that ends the tasks.
 */
export function startLeading(options: StartLeadingOptions): LeaderParts {
  const { advice, entryId, group, runners: client, vms } = options;
  const order = new SlackOrderPolicy();
  const fleet: RunnerFleet = new RunnerFleet({
    ...options,
    client,
    findTicket: (task, runner) => desk?.findTicket(task, runner),
  });
  const waves = vms === undefined ? undefined : new WaveTask({
    ...options,
    fleet,
    vms,
    policy: new LeastLossMaintenancePolicy(),
    holderId: entryId,
  });
  const isInUpkeep = (runner: Runner) => waves?.isCordoned(runner) ?? false;
  const capacity = vms === undefined ? undefined : new CapacityTask({
    ...options,
    fleet,
    vms,
    policy: new DemandCapacityPolicy(),
    forecast: new PeriodicForecast(),
    holderId: entryId,
    isInMaintenance: isInUpkeep,
  });
  const scheduler: Scheduler = new Scheduler({
    ...options,
    planner: new StartPlanner({
      order,
      placement: new ScoredPlacementPolicy(),
    }),
    findStatus: (runner) => fleet.findStatus(runner),
    findApproved: (step) => desk?.findApproved(step),
    isCordoned: (runner) =>
      isInUpkeep(runner) || (capacity?.isCordoned(runner) ?? false),
  });
  const desk: AdviceTask | undefined = advice === undefined
    ? undefined
    : new AdviceTask({
      ...options,
      client: advice,
      order,
      mayPlaceOn: (runner) => scheduler.mayPlaceOn(runner),
    });
  const pace = new PaceTask({
    ...options,
    fleet,
    client,
    policy: new BackOffPacePolicy(),
  });
  const parts = { runners: fleet, scheduler, waves, capacity, desk, pace };
  for (const [name, part] of Object.entries(parts)) {
    if (part !== undefined) {
      group.startForever(name, (signal) => part.run(signal));
    }
  }
  return {
    registry: new RunnerRegistry({ ...options, client, fleet }),
    explainer: new ScheduleExplainer({
      ...options,
      findStatus: (runner) => fleet.findStatus(runner),
      mayPlaceOn: (runner) => scheduler.mayPlaceOn(runner),
    }),
    readGauges: () => readGauges(options, fleet),
  };
}

function readGauges(
  { fencingToken, log }: StartLeadingOptions,
  fleet: RunnerFleet,
): SchedulingGauges {
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
  };
}
