/** Calls about jobs and their answers, independent of any encoding. */
import * as v from "valibot";
import { JOB_STATES, jobSpecSchema } from "../../domain/index.ts";

/** Schema of {@link JobCall}. */
export const jobCallSchema = v.object({
  action: v.picklist(["submit", "read", "cancel"]),
  /** Host name; the host and the path select the queue in the catalog. */
  host: v.optional(v.string()),
  /**
   * Path of the job: its id after the queue's prefix, or after `/` without a
   * host.
   */
  path: v.string(),
  /** Name or formatted address of the queue, for a call without a host. */
  queue: v.optional(v.string()),
  /** Key of the caller's team. */
  key: v.optional(v.string()),
  /** Id of the caller's request, for the log. */
  requestId: v.string(),
  /**
   * Time for which the call waited at an entry before it was sent (ms). Absent
   * in calls of earlier releases.
   */
  waitedMs: v.optional(v.pipe(v.number(), v.minValue(0))),
  /** Steps and description of the job, for a submit; the path holds its id. */
  work: v.optional(v.omit(jobSpecSchema, ["jobId"])),
});

/** A call about a job or a queue, independent of its encoding. */
export type JobCall = v.InferOutput<typeof jobCallSchema>;

/** Schema of {@link JobCallAnswer}. */
export const jobCallAnswerSchema = v.object({
  state: v.optional(v.picklist(JOB_STATES)),
  /** Number of accepted jobs of the queue of which no runner has begun a task. */
  pendingCount: v.optional(v.number()),
});

/** The answer to a call about a job or a queue. */
export type JobCallAnswer = v.InferOutput<typeof jobCallAnswerSchema>;
