/** Explains where a job would go now, without accepting it. */
import { Result } from "true-myth";
import * as v from "valibot";
import {
  findWaitReason,
  type PlannedStart,
  type StartPlanner,
} from "../../decisions/index.ts";
import {
  createFailure,
  type Failure,
  findJobFault,
  formatQueueAddress,
  indexTeams,
  type JobQueue,
  JobRecord,
  type JobSpec,
  jobSpecSchema,
  listQueuesByReference,
  type Runner,
  validateWith,
} from "../../domain/index.ts";
import type { Clock } from "../../ports/index.ts";
import type { JobAdmission } from "./job_admission.ts";
import { createRepeatedQueueName } from "./repeated_queue_name.ts";
import { describeDelay, type RoomWatch } from "./room_watch.ts";
import type { ScheduleExplanation } from "./schedule_explainer.ts";
import type { Scheduler } from "./scheduler.ts";
import type { SchedulingLog } from "./scheduling_log.ts";

/** Most runners that one line names. */
const MAX_NAMED_RUNNERS = 10;
/** Stands for a job that is not stored; no caller's job has a shorter id. */
const PREVIEW_JOB_ID = "preview";

/** Schema of a query for a placement. */
export const placementQuerySchema = v.object({
  /** Name or formatted address of the queue. */
  queue: v.string(),
  /** Id of the team that would submit the job. */
  team: v.optional(v.string()),
  work: v.omit(jobSpecSchema, ["jobId"]),
});

/** Options of {@link PlacementExplainer}. */
export interface PlacementExplainerOptions {
  readonly log: SchedulingLog;
  readonly clock: Clock;
  /** A planner of its own, whose reservations hold for no real plan. */
  readonly planner: StartPlanner;
  readonly scheduler: Pick<Scheduler, "listCandidates" | "mayPlaceOn">;
  readonly room: Pick<RoomWatch, "rank">;
  readonly admission: Pick<JobAdmission, "preview">;
}

interface Preview {
  readonly job: JobRecord;
  readonly starts: readonly PlannedStart[];
  readonly describeDelay: (step: number) => string | undefined;
}

/** Plans a given job on a copy of the state, by the policies of the leader. */
export class PlacementExplainer {
  readonly #options: PlacementExplainerOptions;

  constructor(options: PlacementExplainerOptions) {
    this.#options = options;
  }

  /**
   * Explains where the tasks of a job would start now, and why others would wait.
   *
   * @param body - The query, not validated yet.
   * @returns The explanation; `invalidInput` or `notFound`.
   */
  explain(body: unknown): Result<ScheduleExplanation, Failure> {
    const query = validateWith(placementQuerySchema, body, {
      subject: "placement",
    });
    return query.andThen(({ queue: name, team, work }) => {
      const { catalog } = this.#options.log.state;
      const queues = listQueuesByReference(catalog, name);
      const [queue] = queues;
      const spec: JobSpec = { ...work, jobId: PREVIEW_JOB_ID };
      const fault = findJobFault(spec);
      if (queue === undefined) {
        return Result.err(createMissing("queue", name));
      }
      if (queues.length > 1) {
        return Result.err(createRepeatedQueueName(name, queues));
      }
      if (team !== undefined && !indexTeams(catalog).byId.has(team)) {
        return Result.err(createMissing("team", team));
      }
      if (fault !== undefined) {
        return Result.err(createFailure("invalidInput", `invalid: ${fault}`));
      }
      return Result.ok({
        subject: `placement/${name}`,
        present: { lines: this.#describe(spec, queue, team), causes: [] },
        records: [],
      });
    });
  }

  #describe(
    spec: JobSpec,
    queue: JobQueue,
    team: string | undefined,
  ): string[] {
    const { admission, clock, log, planner, room, scheduler } = this.#options;
    const nowMs = clock.nowMs();
    const job = new JobRecord({
      spec,
      queue: queue.name,
      queueAddress: formatQueueAddress(queue),
      pool: queue.pool,
      team,
      maxAttempts: queue.maxAttempts,
      acceptedAtMs: nowMs,
    });
    const order = room.rank(job);
    const starts = planner.plan({
      state: log.state,
      candidates: scheduler.listCandidates(),
      findApproved: () => undefined,
      preview: job,
      nowMs,
    }).filter(({ task }) => task.jobId === PREVIEW_JOB_ID);
    const preview: Preview = {
      job,
      starts,
      describeDelay: (step) =>
        describeDelay(order, { jobId: PREVIEW_JOB_ID, occurrence: 0, step }),
    };
    const rejection = admission.preview({ spec, queue, team, waitedMs: 0 });
    const advice = queue.advice === undefined
      ? []
      : ["the advice service was not asked; it may exclude runners"];
    return [
      rejection === undefined
        ? `would be accepted, pool ${queue.pool}`
        : `would be rejected (${rejection.reason}): waits for ${
          Math.round(rejection.expectedWaitMs)
        } ms, of use for ${Math.round(rejection.usefulMs)} ms`,
      ...advice,
      ...spec.steps.map((_, step) => this.#describeStep(preview, step, nowMs)),
    ];
  }

  #describeStep(
    { job, starts, describeDelay }: Preview,
    stepIndex: number,
    nowMs: number,
  ): string {
    const { log, scheduler } = this.#options;
    const { state } = log;
    const inStep = starts.filter(({ task }) => task.step === stepIndex);
    const taskCount = job.spec.steps[stepIndex]?.taskCount ?? 0;
    const where = inStep.length === 0 ? "" : `: ${nameRunners(inStep, state)}`;
    const begun =
      `step ${stepIndex}: ${inStep.length} of ${taskCount} tasks would start now${where}`;
    if (inStep.length === taskCount) {
      return begun;
    }
    const reason = findWaitReason({
      state,
      job,
      occurrence: 0,
      stepIndex,
      mayPlaceOn: (runner) => scheduler.mayPlaceOn(runner),
      findDelayReason: () => describeDelay(stepIndex),
      nowMs,
    });
    const isPlannedLater = reason === "the next plan places it";
    return `${begun}; others wait: ${
      isPlannedLater ? "steps before it take the room that is free" : reason
    }`;
  }
}

function nameRunners(
  starts: readonly PlannedStart[],
  { runners }: { readonly runners: ReadonlyMap<string, Runner> },
): string {
  const counts = new Map<string, number>();
  for (const { runnerId } of starts) {
    counts.set(runnerId, (counts.get(runnerId) ?? 0) + 1);
  }
  const names = [...counts].slice(0, MAX_NAMED_RUNNERS)
    .map(([id, count]) => `${id} (${runners.get(id)?.zone}) x ${count}`);
  const leftCount = counts.size - names.length;
  return names.join(", ") + (leftCount > 0 ? ` and ${leftCount} more` : "");
}

function createMissing(kind: string, name: string): Failure {
  return createFailure("notFound", `${kind}/${name} does not exist`);
}
