/** What becomes of the runs of a runner that has started anew. */
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
import { LOOK_TIMEOUT_MS } from "./timing.ts";

/** Options of {@link closeFormerLife}. */
export interface FormerLifeOptions {
  readonly log: SchedulingLog;
  readonly client: RunnerClient;
  readonly logger: Logger;
  readonly fencingToken: number;
  /** Finds how many failed ends a run's job allows. */
  readonly findMaxAttempts: (run: RunningTask) => number;
  /** Finds what has been seen of a lifetime. */
  readonly findStatus: (life: RunnerIncarnation) => RunnerStatus | undefined;
}

/**
 * Closes the runs of a former lifetime at the one that follows it.
 *
 * An order to the former lifetime may have reached the new one, or may reach
 * it yet. A stopped run can never begin there, and what did run there is in its
 * list: only then may the tasks be placed elsewhere.
 *
 * @param options - The log and the client.
 * @param former - The lifetime that is over.
 * @param runner - Where the new one answers.
 * @returns The ends that the new lifetime lists; undefined when it did not
 * answer each order.
 */
export async function closeFormerLife(
  options: FormerLifeOptions,
  former: Runner,
  runner: Runner,
): Promise<SchedulingOperation[] | undefined> {
  const { client, fencingToken, findMaxAttempts, findStatus, log, logger } =
    options;
  // No plan names the former lifetime from here on; those that do already are
  // in the log once this empty change is.
  const status = findStatus(former);
  if (status !== undefined) {
    status.isLeaving = true;
  }
  const isSettled = await log.propose([]);
  if (isSettled.isErr) {
    return undefined;
  }
  const runs = [...log.state.jobs.findLoad(former).running.values()];
  if (runs.length === 0) {
    return [];
  }
  const stopped = await Promise.all(
    runs.map(({ id, runNumber }) =>
      client.stop(runner, { task: id, runNumber }, fencingToken)
    ),
  );
  const looked = await client.look(runner, {
    fencingToken,
    forgetUpTo: 0,
    waitMs: 0,
    timeoutMs: LOOK_TIMEOUT_MS,
  });
  const openCount = stopped.filter(({ isErr }) => isErr).length;
  const isClosed = openCount === 0 && looked.isOk;
  logger.info(
    {
      runnerId: former.runnerId,
      bornAtMs: former.bornAtMs,
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
  const isStillThere = looked.value.running.some((report) =>
    byName.has(formatRun(report))
  );
  if (isStillThere) {
    return undefined;
  }
  return looked.value.ended.flatMap((report): SchedulingOperation[] => {
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
