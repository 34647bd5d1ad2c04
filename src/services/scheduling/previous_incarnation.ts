/** What becomes of the runs of a runner that has started anew. */
import type {
  Runner,
  RunnerLife,
  RunningTask,
  SchedulingOperation,
} from "../../domain/index.ts";
import type { Logger, RunnerClient } from "../../ports/index.ts";
import { formatRun } from "./run_name.ts";
import type { RunnerStatus } from "./runner_status.ts";
import type { SchedulingLog } from "./scheduling_log.ts";
import { POLL_TIMEOUT_MS } from "./timing.ts";

/** Options of {@link closePreviousIncarnation}. */
export interface PreviousIncarnationOptions {
  readonly log: SchedulingLog;
  readonly client: RunnerClient;
  readonly logger: Logger;
  readonly fencingToken: number;
  /** Finds how many failed ends a run's job allows. */
  readonly findMaxAttempts: (run: RunningTask) => number;
  /** Finds what has been seen of a lifetime. */
  readonly findStatus: (incarnation: RunnerLife) => RunnerStatus | undefined;
}

/**
 * Closes the runs of a former lifetime at the one that follows it.
 *
 * An order to the former lifetime may have reached the new one, or may reach
 * it yet. A stopped run can never begin there, and what did run there is in its
 * list: only then may the tasks be placed elsewhere.
 *
 * @param options - The log and the client.
 * @param previous - The lifetime that is over.
 * @param runner - Where the new one answers.
 * @returns The ends that the new lifetime lists; undefined when it did not
 * answer each order.
 */
export async function closePreviousIncarnation(
  options: PreviousIncarnationOptions,
  previous: Runner,
  runner: Runner,
): Promise<SchedulingOperation[] | undefined> {
  const { client, fencingToken, findMaxAttempts, findStatus, log, logger } =
    options;
  // No plan names the former lifetime from here on; those that do already are
  // in the log once this empty change is.
  const status = findStatus(previous);
  if (status !== undefined) {
    status.isLeaving = true;
  }
  const isSettled = await log.propose([]);
  if (isSettled.isErr) {
    return undefined;
  }
  const runs = [...log.state.jobs.findLoad(previous).running.values()];
  if (runs.length === 0) {
    return [];
  }
  const stopped = await Promise.all(
    runs.map(({ id, runNumber }) =>
      client.stop(runner, { task: id, runNumber }, fencingToken)
    ),
  );
  const polled = await client.poll(runner, {
    fencingToken,
    ackPosition: 0,
    waitMs: 0,
    timeoutMs: POLL_TIMEOUT_MS,
  });
  const openCount = stopped.filter(({ isErr }) => isErr).length;
  const isClosed = openCount === 0 && polled.isOk;
  logger.info(
    {
      runnerId: previous.runnerId,
      bornAtMs: previous.bornAtMs,
      runCount: runs.length,
      openCount,
      isClosed,
    },
    "closes the runs of a former lifetime",
  );
  if (!isClosed) {
    return undefined;
  }
  const byName = new Map(
    runs.map((run) => [formatRun({ task: run.id, ...run }), run]),
  );
  const isStillThere = polled.value.running.some((report) =>
    byName.has(formatRun(report))
  );
  if (isStillThere) {
    return undefined;
  }
  return polled.value.ended.flatMap((report): SchedulingOperation[] => {
    const run = byName.get(formatRun(report));
    return run === undefined ? [] : [{
      type: "end",
      task: report.task,
      runNumber: report.runNumber,
      how: report.how,
      saved: report.saved,
      maxAttempts: findMaxAttempts(run),
    }];
  });
}
