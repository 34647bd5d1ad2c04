/**
 * Closes the runs of a runner incarnation that has been replaced by a new one.
 */
import type {
  Runner,
  RunnerIncarnation,
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
  /** Returns how many failed runs of a task its job allows. */
  readonly findMaxAttempts: (run: RunningTask) => number;
  /** Returns the status of a runner incarnation. */
  readonly findStatus: (
    incarnation: RunnerIncarnation,
  ) => RunnerStatus | undefined;
}

/**
 * Stops the runs of a previous incarnation at the incarnation that replaced it.
 *
 * A start request to the previous incarnation may have reached the new one, or
 * may still reach it. After a confirmed stop the run can no longer start there,
 * and a run that did start is in the runner's list of ended runs. Only then may
 * the tasks be placed elsewhere.
 *
 * @param options - The log, the client and the leader's fencing token.
 * @param previous - The incarnation that has ended.
 * @param runner - The runner, at the address where the new incarnation answers.
 * @returns The ends of these runs as the new incarnation lists them, or
 * undefined when the log did not accept a proposal, a request got no answer or
 * a run is still in progress.
 */
export async function closePreviousIncarnation(
  options: PreviousIncarnationOptions,
  previous: Runner,
  runner: Runner,
): Promise<SchedulingOperation[] | undefined> {
  const { client, fencingToken, findMaxAttempts, findStatus, log, logger } =
    options;
  // From here on no plan names the previous incarnation. Plans that name it
  // already are in the log once this empty batch is.
  findStatus(previous)?.recordReplaced();
  const recorded = await log.propose([]);
  if (recorded.isErr) {
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
    "sent stops for the runs of a previous runner incarnation",
  );
  if (!isClosed) {
    return undefined;
  }
  const byName = new Map(
    runs.map((run) => [formatRun({ task: run.id, ...run }), run]),
  );
  const isStillRunning = polled.value.running.some((report) =>
    byName.has(formatRun(report))
  );
  if (isStillRunning) {
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
