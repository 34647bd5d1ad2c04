/**
 * Audits calls: compares the work that the stand-in backend servers ran with the
 * outcomes that the callers recorded.
 */
import type { CallRecord, StandInBackend } from "../stand_ins/index.ts";

const MAX_REASON_LENGTH = 160;
const MAX_REASON_COUNT = 5;

/** A piece of work that a stand-in backend server started. */
export interface WorkItem {
  readonly callId: string;
  readonly team: string;
  readonly startedAtMs: number;
  /** Infinity while the work is still running. */
  readonly endedAtMs: number;
  /** Index of the backend server in the list given to {@link collectWorkItems}. */
  readonly backendIndex: number;
}

/** Contradictions between callers and backend servers; each should be 0. */
export interface CallAudit {
  /** Calls that ran more than once. */
  readonly doubledCount: number;
  /** Calls that succeeded without having run, and calls without an answer. */
  readonly lostCount: number;
  /** Calls whose answer looked complete, but was not the complete answer to the call. */
  readonly truncatedCount: number;
  /** Calls that ran although the answer said that they did not. */
  readonly falseNotRunCount: number;
}

/**
 * Collects the work that all backend servers started.
 *
 * @param backends - The stand-in backend servers.
 * @returns The work items, sorted by start time.
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
 * Compares the callers' records with the work that ran.
 *
 * @param records - Records of all calls.
 * @param workItems - All work that was started.
 * @returns The numbers of contradictions.
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

/** An interval of monotonic time, in milliseconds. */
export interface TimeSpan {
  readonly fromMs: number;
  readonly untilMs: number;
}

/**
 * Computes how many work items ran at once, on average over a time span.
 *
 * @param workItems - The work.
 * @param span - The time span.
 * @returns The mean number of running work items.
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
 * Calls a function at each start, with the number of work items running then.
 *
 * @param workItems - The work, sorted by start time.
 * @param visit - Receives the started item and the number of running items,
 *   including that one. Items that end at this very time no longer count.
 */
export function forEachStart(
  workItems: readonly WorkItem[],
  visit: (workItem: WorkItem, runningCount: number) => void,
): void {
  const ends = workItems.map(({ endedAtMs }) => endedAtMs)
    .sort((left, right) => left - right);
  let endedCount = 0;
  workItems.forEach((workItem, index) => {
    while ((ends[endedCount] ?? Infinity) <= workItem.startedAtMs) {
      endedCount += 1;
    }
    visit(workItem, index + 1 - endedCount);
  });
}

/**
 * Summarizes why calls did not succeed.
 *
 * @param records - Records of all calls.
 * @returns One line for each of the most frequent reasons, with its count.
 */
export function summarizeUnsuccessfulCalls(
  records: readonly CallRecord[],
): string[] {
  const counts = new Map<string, number>();
  for (const { outcome, reason: why } of records) {
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

// Names and numbers in messages differ between calls, so the failure kind is
// preferred as the reason.
function summarizeReason(why: string): string {
  const kind = /"kind":"(\w+)"/.exec(why)?.[1];
  return kind ?? why.slice(0, MAX_REASON_LENGTH);
}
