/** The leader's service for calls about jobs. */
import { Result } from "true-myth";
import {
  createFailure,
  type Failure,
  findJobFault,
  findQueueByAddress,
  findQueueOfJob,
  formatQueueAddress,
  indexTeams,
  type JobQueue,
  type JobRecord,
  type JobSpec,
  listQueuesByReference,
  validateWith,
} from "../../domain/index.ts";
import type { Logger } from "../../ports/index.ts";
import { type JobCall, type JobCallAnswer, jobCallSchema } from "./job_call.ts";
import type { JobAdmission } from "./job_admission.ts";
import { PendingSubmits } from "./pending_submits.ts";
import { createRepeatedQueueName } from "./repeated_queue_name.ts";
import type { SchedulingLog } from "./scheduling_log.ts";

/** Options of {@link JobService}. */
export interface JobServiceOptions {
  readonly log: SchedulingLog;
  readonly logger: Logger;
  /** Finds the check of new jobs while this process leads; none by default. */
  readonly findAdmission?: () =>
    | Pick<JobAdmission, "findRejection">
    | undefined;
}

interface Target {
  readonly queue: JobQueue;
  /** Rest of the path after the queue's prefix: a job id, or empty. */
  readonly rest: string;
  /** Id of the caller's team. */
  readonly team: string | undefined;
}

const JOB_ID = /^[0-9a-f]{16}$/;

/** Accepts jobs, reads their state and cancels them. */
export class JobService {
  readonly #log: SchedulingLog;
  readonly #logger: Logger;
  readonly #findAdmission: JobServiceOptions["findAdmission"];
  readonly #pending = new PendingSubmits();

  constructor({ log, logger, findAdmission }: JobServiceOptions) {
    this.#log = log;
    this.#logger = logger;
    this.#findAdmission = findAdmission;
  }

  /**
   * Handles a call.
   *
   * @param body - The call, not validated yet.
   * @returns The answer, or the failure by kind.
   */
  async answer(body: unknown): Promise<Result<JobCallAnswer, Failure>> {
    const call = validateWith(jobCallSchema, body, { subject: "job" });
    if (call.isErr) {
      return Result.err(call.error);
    }
    const target = this.#resolve(call.value);
    const answered = target.isErr
      ? Result.err<JobCallAnswer, Failure>(target.error)
      : await this.#act(call.value, target.value);
    this.#logCall(call.value, answered);
    return answered;
  }

  #act(
    call: JobCall,
    target: Target,
  ): Promise<Result<JobCallAnswer, Failure>> | Result<JobCallAnswer, Failure> {
    if (target.rest === "" && call.action === "read") {
      return Result.ok({ pendingCount: this.#countPending(target.queue) });
    }
    if (!JOB_ID.test(target.rest)) {
      return Result.err(
        createFailure(
          "jobUnknown",
          `path ${call.path} does not end with a job id`,
          {
            remedy: "use a job id of 16 hexadecimal digits",
          },
        ),
      );
    }
    switch (call.action) {
      case "submit":
        return this.#submit(call, target);
      case "read":
        return this.#read(target);
      case "cancel":
        return this.#cancel(target);
    }
  }

  async #submit(
    { waitedMs, work }: JobCall,
    { queue, rest, team }: Target,
  ): Promise<Result<JobCallAnswer, Failure>> {
    if (work === undefined) {
      return Result.err(createFailure("invalidInput", "the job has no steps"));
    }
    const known = this.#log.state.jobs.find(rest);
    if (known !== undefined) {
      return isJobOf(queue, known)
        ? Result.ok({ state: known.state })
        : Result.err(createIdInUse(rest));
    }
    const spec: JobSpec = { ...work, jobId: rest };
    const fault = findJobFault(spec);
    if (fault !== undefined) {
      return Result.err(
        createFailure("invalidInput", `job ${rest} is invalid: ${fault}`),
      );
    }
    // A job that may be in the log may run: it must not be refused.
    const rejection = this.#pending.has(rest)
      ? undefined
      : this.#findAdmission?.()?.findRejection({
        spec,
        queue,
        team,
        waitedMs: waitedMs ?? 0,
      });
    if (rejection !== undefined) {
      return Result.err(rejection);
    }
    const proposal = this.#pending.begin(rest);
    const accepted = await this.#log.propose([{
      type: "accept",
      spec,
      queue: queue.name,
      queueAddress: formatQueueAddress(queue),
      pool: queue.pool,
      team,
      maxAttempts: queue.maxAttempts,
      waitedMs,
    }]);
    const absent = accepted.isErr && accepted.error.kind === "notLeader";
    proposal.end(accepted.isOk ? "applied" : absent ? "absent" : "unknown");
    // Another queue's job may have been accepted under the id meanwhile.
    const stored = this.#log.state.jobs.find(rest);
    return accepted.isOk && stored !== undefined && !isJobOf(queue, stored)
      ? Result.err(createIdInUse(rest))
      : accepted.map(() => ({ state: "queued" as const }));
  }

  #read({ queue, rest: jobId }: Target): Result<JobCallAnswer, Failure> {
    const job = this.#log.state.jobs.find(jobId);
    return job === undefined || !isJobOf(queue, job)
      ? Result.err(createUnknown(jobId))
      : Result.ok({ state: job.state });
  }

  async #cancel(
    { queue, rest: jobId }: Target,
  ): Promise<Result<JobCallAnswer, Failure>> {
    const job = this.#log.state.jobs.find(jobId);
    if (job === undefined || !isJobOf(queue, job)) {
      return Result.err(createUnknown(jobId));
    }
    if (job.outcome !== undefined) {
      return Result.ok({ state: job.state });
    }
    const cancelled = await this.#log.propose([{ type: "cancel", jobId }]);
    return cancelled.map(() => ({ state: job.state }));
  }

  #resolve(call: JobCall): Result<Target, Failure> {
    const { catalog } = this.#log.state;
    if (catalog.version < 0) {
      return Result.err(
        createFailure("noCatalog", "no catalog has been accepted yet", {
          remedy: "send a catalog, or wait until one has been sent",
          retryAfterMs: 1_000,
        }),
      );
    }
    const queues = this.#listQueues(call);
    const [queue] = queues;
    if (queue === undefined) {
      return Result.err(createNoQueue(call, catalog.version));
    }
    if (queues.length > 1) {
      return Result.err(createRepeatedQueueName(call.queue ?? "", queues));
    }
    const rest = call.host === undefined
      ? call.path.slice(1)
      : call.path.slice(queue.pathPrefix.length);
    const team = indexTeams(catalog).idsByKey.get(call.key ?? "");
    if (team === undefined && !queue.isPublic) {
      return Result.err(
        createFailure(
          "unauthenticated",
          `the key belongs to no team in catalog ${catalog.version}`,
          { remedy: "send a key of a team in the catalog" },
        ),
      );
    }
    return Result.ok({ queue, rest, team });
  }

  // A call without a host names its queue, or a known job whose queue is used.
  #listQueues({ host, path, queue }: JobCall): readonly JobQueue[] {
    const { catalog, jobs } = this.#log.state;
    if (host === undefined && queue !== undefined) {
      return listQueuesByReference(catalog, queue);
    }
    const job = jobs.find(path.slice(1));
    const found = host === undefined
      ? job && findQueueOfJob(catalog, job)
      : findQueueByAddress(catalog, host, path);
    return found === undefined ? [] : [found];
  }

  #countPending(queue: JobQueue): number {
    const { catalog, jobs } = this.#log.state;
    let count = 0;
    for (const job of jobs.open) {
      const isPending = !job.hasBegun &&
        findQueueOfJob(catalog, job) === queue;
      count += Number(isPending);
    }
    return count;
  }

  #logCall(call: JobCall, answered: Result<JobCallAnswer, Failure>): void {
    const { action, host, path, requestId, waitedMs } = call;
    const reliance = this.#log.describeReliance();
    const fields = { requestId, action, host, path, waitedMs, ...reliance };
    if (answered.isErr) {
      const { kind, message } = answered.error;
      this.#logger.info({ ...fields, kind, reason: message }, "refused a call");
    } else if (action !== "read" || answered.value.pendingCount !== undefined) {
      this.#logger.info({ ...fields, ...answered.value }, "answered a call");
    }
  }
}

// The id alone does not identify a job: callers of different queues choose theirs
// without knowing of each other. An earlier release kept no address.
function isJobOf(queue: JobQueue, { queueAddress }: JobRecord): boolean {
  return queueAddress === undefined ||
    queueAddress === formatQueueAddress(queue);
}

function createIdInUse(jobId: string): Failure {
  return createFailure("conflict", `job ${jobId} is one of another queue`, {
    remedy: "submit the job with another id",
  });
}

function createUnknown(jobId: string): Failure {
  return createFailure("jobUnknown", `job ${jobId} is not known`);
}

function createNoQueue(
  { host, path, queue }: JobCall,
  catalogVersion: number,
): Failure {
  if (host === undefined && queue === undefined) {
    return createUnknown(path.slice(1));
  }
  const what = host === undefined
    ? `no queue is named ${queue}`
    : `no queue matches ${host}${path}`;
  return createFailure("unknownKind", `${what} in catalog ${catalogVersion}`);
}
