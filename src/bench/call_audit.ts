/** Evidence from the stand-ins: what really ran, matched with what callers saw. */
import type { CallRecord, StandInBackend } from "../stand_ins/index.ts";

const MAX_REASON_LENGTH = 160;
const MAX_REASON_COUNT = 5;

/** One piece of work that a stand-in backend server started. */
export interface WorkItem {
  readonly callId: string;
  readonly team: string;
  readonly startedAtMs: number;
  /** Infinity while it runs. */
  readonly endedAtMs: number;
  /** Position of the backend server in the list. */
  readonly backendIndex: number;
}

/** How callers' records and the evidence disagree; each should be 0. */
export interface CallAudit {
  /** Calls that ran more than once. */
  readonly doubledCount: number;
  /** Calls answered as a success that never ran, or that got no answer at all. */
  readonly lostCount: number;
  /** Answers that looked complete but were not the answer to the call. */
  readonly truncatedCount: number;
  /** Calls that were said not to have run, but ran. */
  readonly falseNotRunCount: number;
}

/**
 * Collects all work that was started.
 *
 * @param backends - The stand-in backend servers.
 * @returns The work, in the order of its start.
 */
export function collectWorkItems(
  backends: readonly StandInBackend[],
): WorkItem[] {
  const workItems = backends.flatMap((backend, backendIndex) =>
    backend.started.map(({ path, startedAtMs, endedAtMs }) => {
      const [, team = "", callId = ""] = path.split("/");
      return {
        callId,
        team,
        startedAtMs,
        endedAtMs: endedAtMs ?? Infinity,
        backendIndex,
      };
    })
  );
  return workItems.sort((left, right) => left.startedAtMs - right.startedAtMs);
}

/**
 * Matches callers' records with the evidence.
 *
 * @param records - Every call.
 * @param workItems - All work that was started.
 * @returns The counts of disagreements.
 */
export function auditCalls(
  records: readonly CallRecord[],
  workItems: readonly WorkItem[],
): CallAudit {
  const runsByCall = new Map<string, number>();
  for (const { callId } of workItems) {
    runsByCall.set(callId, (runsByCall.get(callId) ?? 0) + 1);
  }
  const countRuns = ({ callId }: CallRecord) => runsByCall.get(callId) ?? 0;
  const isLost = (record: CallRecord) =>
    record.outcome === "broken" ||
    (record.outcome === "succeeded" && countRuns(record) === 0);
  return {
    doubledCount: [...runsByCall.values()].filter((runs) => runs > 1).length,
    lostCount: records.filter(isLost).length,
    truncatedCount:
      records.filter(({ outcome }) => outcome === "truncated").length,
    falseNotRunCount:
      records.filter((record) =>
        record.outcome === "notRun" && countRuns(record) > 0
      ).length,
  };
}

/** A stretch of monotonic time, in milliseconds. */
export interface TimeSpan {
  readonly fromMs: number;
  readonly untilMs: number;
}

/**
 * Works out how much ran on average during a span.
 *
 * @param workItems - The work.
 * @param span - The span.
 * @returns Mean number of pieces of work that ran at once.
 */
export function averageRunning(
  workItems: readonly WorkItem[],
  span: TimeSpan,
): number {
  let busyMs = 0;
  for (const { startedAtMs, endedAtMs } of workItems) {
    const fromMs = Math.max(startedAtMs, span.fromMs);
    const untilMs = Math.min(endedAtMs, span.untilMs);
    busyMs += Math.max(0, untilMs - fromMs);
  }
  return busyMs / (span.untilMs - span.fromMs);
}

/**
 * Walks through the starts and tells how much ran at each.
 *
 * @param workItems - The work, in the order of its start.
 * @param visit - Called at each start with what ran then, itself included.
 */
export function forEachStart(
  workItems: readonly WorkItem[],
  visit: (work: WorkItem, runningCount: number) => void,
): void {
  const ends = workItems.map(({ endedAtMs }) => endedAtMs)
    .sort((left, right) => left - right);
  let endedCount = 0;
  workItems.forEach((work, index) => {
    while ((ends[endedCount] ?? Infinity) <= work.startedAtMs) {
      endedCount += 1;
    }
    visit(work, index + 1 - endedCount);
  });
}

/**
 * Summarises why calls got no answer.
 *
 * @param records - Every call.
 * @returns One line for each reason, with its count.
 */
export function summarizeUnsuccessfulCalls(
  records: readonly CallRecord[],
): string[] {
  const counts = new Map<string, number>();
  for (const { outcome, why } of records) {
    if (outcome !== "succeeded") {
      const reason = `${outcome}: ${summarizeReason(why)}`;
      counts.set(reason, (counts.get(reason) ?? 0) + 1);
    }
  }
  return [...counts]
    .sort((left, right) => right[1] - left[1])
    .slice(0, MAX_REASON_COUNT)
    .map(([reason, count]) => `${count} calls ${reason}`);
}

// Names and numbers differ from call to call; the kind of failure does not.
function summarizeReason(why: string): string {
  const kind = /"kind":"(\w+)"/.exec(why)?.[1];
  return kind ?? why.slice(0, MAX_REASON_LENGTH);
}
