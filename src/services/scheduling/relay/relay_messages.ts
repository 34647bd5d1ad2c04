/** Messages between the leader and the controllers that relay its requests. */
import * as v from "valibot";
import { RUN_ENDS, type TaskId, taskIdSchema } from "../../../domain/index.ts";
import {
  type EndReport,
  type RunnerFailure,
  runnerRefusalSchema,
  type RunnerReport,
  type RunReport,
} from "../../../ports/index.ts";

/** Names of the messages. */
export const RELAY_METHODS = {
  /** Requests of the leader to runners. */
  requests: "relay.requests",
  /** Answers of runners, from a relay to the leader. */
  answers: "relay.answers",
} as const;

const runnerSchema = v.object({ runnerId: v.string(), address: v.string() });

const runNameEntries = { task: taskIdSchema, runNumber: v.number() };

const requestEntries = {
  /** Number of the request within the session. */
  callId: v.number(),
  runner: runnerSchema,
};

/** Schema of {@link RelayedRequest}. */
export const relayedRequestSchema = v.variant("kind", [
  v.object({
    kind: v.literal("start"),
    ...requestEntries,
    request: v.object({
      ...runNameEntries,
      text: v.string(),
      leaseUntilMs: v.number(),
      fencingToken: v.number(),
      saved: v.string(),
      ticket: v.optional(v.string()),
    }),
  }),
  v.object({
    kind: v.literal("stop"),
    ...requestEntries,
    request: v.object(runNameEntries),
    fencingToken: v.number(),
  }),
  v.object({
    kind: v.literal("pace"),
    ...requestEntries,
    request: v.object({ ...runNameEntries, percent: v.number() }),
    fencingToken: v.number(),
  }),
  v.object({
    kind: v.literal("poll"),
    ...requestEntries,
    request: v.object({
      fencingToken: v.number(),
      ackPosition: v.number(),
      leaseUntilMs: v.optional(v.number()),
      waitMs: v.number(),
      timeoutMs: v.number(),
    }),
  }),
  /** Closes the connections to the runner; it gets no answer. */
  v.object({ kind: v.literal("disconnect"), ...requestEntries }),
]);

/** A request of the leader to a runner. */
export type RelayedRequest = v.InferOutput<typeof relayedRequestSchema>;

/** Schema of the requests that a relay gets in one message. */
export const relayedRequestsSchema = v.object({
  /** Names the process that sends them and counts their numbers. */
  sessionId: v.string(),
  /**
   * Time on the sender's steady clock (ms); absent in messages of releases that
   * did not send it.
   */
  sentAtMs: v.optional(v.number()),
  requests: v.array(relayedRequestSchema),
});

/** Job id, occurrence, step and index of a task. */
const taskEntries = [v.string(), v.number(), v.number(), v.number()] as const;

/**
 * Schema of a run in progress: its task, run number, saved progress, percent
 * and load. Rows without names of fields are smaller, and a poll reports every
 * run of a runner.
 */
const runRowSchema = v.tuple([
  ...taskEntries,
  v.number(),
  v.string(),
  v.number(),
  v.number(),
]);

/**
 * Schema of a run that has ended: its task, run number, saved progress, position
 * in the runner's list, and how it ended.
 */
const endRowSchema = v.tuple([
  ...taskEntries,
  v.number(),
  v.string(),
  v.number(),
  v.picklist(RUN_ENDS),
]);

type RunRow = v.InferOutput<typeof runRowSchema>;
type EndRow = v.InferOutput<typeof endRowSchema>;

/** Schema of {@link RelayedAnswer}. */
export const relayedAnswerSchema = v.object({
  callId: v.number(),
  /** Present when the request failed. */
  failure: v.optional(v.object({
    refusal: v.optional(runnerRefusalSchema),
    clockMs: v.optional(v.number()),
    /** Absent in messages of releases that did not know it. */
    isSameProcess: v.optional(v.boolean()),
    message: v.string(),
  })),
  clockMs: v.optional(v.number()),
  /** Present in the answer to a poll. */
  report: v.optional(v.object({
    bornAtMs: v.number(),
    running: v.array(runRowSchema),
    ended: v.array(endRowSchema),
  })),
});

/** The answer of a runner, or why there is none. */
export type RelayedAnswer = v.InferOutput<typeof relayedAnswerSchema>;

/** Schema of the answers that the leader gets in one message. */
export const relayedAnswersSchema = v.object({
  sessionId: v.string(),
  answers: v.array(relayedAnswerSchema),
});

/** Packs the failure of a request. */
export function packFailure(
  callId: number,
  failure: RunnerFailure,
): RelayedAnswer {
  return { callId, failure };
}

/** Packs the report of a runner. */
export function packReport(
  callId: number,
  { clockMs, bornAtMs, running, ended }: RunnerReport,
): RelayedAnswer {
  return {
    callId,
    clockMs,
    report: {
      bornAtMs,
      running: running.map(toRunRow),
      ended: ended.map(toEndRow),
    },
  };
}

/**
 * Unpacks the report of a runner.
 *
 * @param answer - The answer to a poll.
 * @returns The report, or undefined when the answer holds none.
 */
export function unpackReport(
  { clockMs, report }: Omit<RelayedAnswer, "callId">,
): RunnerReport | undefined {
  return report === undefined || clockMs === undefined ? undefined : {
    clockMs,
    bornAtMs: report.bornAtMs,
    running: report.running.map(fromRunRow),
    ended: report.ended.map(fromEndRow),
  };
}

function toRunRow(
  { task, runNumber, saved, percent, load }: RunReport,
): RunRow {
  const { jobId, occurrence, step, index } = task;
  return [jobId, occurrence, step, index, runNumber, saved, percent, load];
}

function fromRunRow(
  [jobId, occurrence, step, index, runNumber, saved, percent, load]: RunRow,
): RunReport {
  const task: TaskId = { jobId, occurrence, step, index };
  return { task, runNumber, saved, percent, load };
}

function toEndRow(
  { task, runNumber, saved, position, how }: EndReport,
): EndRow {
  const { jobId, occurrence, step, index } = task;
  return [jobId, occurrence, step, index, runNumber, saved, position, how];
}

function fromEndRow(
  [jobId, occurrence, step, index, runNumber, saved, position, how]: EndRow,
): EndReport {
  const task: TaskId = { jobId, occurrence, step, index };
  return { task, runNumber, saved, position, how };
}
