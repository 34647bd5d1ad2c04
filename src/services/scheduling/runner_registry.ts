/** The leader's service for announcements and departures of runners. */
import { Result } from "true-myth";
import {
  announcedRunnerSchema,
  createFailure,
  type Failure,
  isOutdatedRunner,
  isSameRunner,
  type Runner,
  type RunnerDeparture,
  type RunnerIncarnation,
  type SchedulingOperation,
  validateWith,
} from "../../domain/index.ts";
import type { Clock, Logger, RunnerClient } from "../../ports/index.ts";
import { closePreviousIncarnation } from "./previous_incarnation.ts";
import type { RunnerFleet } from "./runner_fleet.ts";
import type { SchedulingLog } from "./scheduling_log.ts";
import { MAX_START_TIME_AHEAD_MS } from "./timing.ts";

/** Options of {@link RunnerRegistry}. */
export interface RunnerRegistryOptions {
  readonly log: SchedulingLog;
  readonly fleet: RunnerFleet;
  readonly client: RunnerClient;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly fencingToken: number;
}

/** Records new runners and changes of known runners in the log. */
export class RunnerRegistry {
  readonly #options: RunnerRegistryOptions;

  constructor(options: RunnerRegistryOptions) {
    this.#options = options;
  }

  /**
   * Handles an announcement of a runner.
   *
   * @param body - The runner, not validated yet.
   * @returns Nothing once it is durable or ignored as outdated; `invalidInput`,
   * or why it could not be recorded.
   */
  async announce(body: unknown): Promise<Result<unknown, Failure>> {
    const checked = validateWith(announcedRunnerSchema, body, {
      subject: "runner",
    });
    if (checked.isErr) {
      return Result.err(checked.error);
    }
    const runner = checked.value;
    const { clock, log, logger, fleet } = this.#options;
    if (runner.bornAtMs > clock.nowMs() + MAX_START_TIME_AHEAD_MS) {
      return Result.err(createFutureStart(runner));
    }
    const known = log.state.runners.get(runner.runnerId);
    const status = fleet.findStatus(runner);
    const isOutdated = (status?.hasGivenNotice ?? false) ||
      (known !== undefined && isOutdatedRunner(runner, known));
    if (isOutdated) {
      return Result.ok({});
    }
    if (log.state.hasEnded(runner)) {
      const { runnerId, bornAtMs } = runner;
      logger.info(
        { runnerId, bornAtMs },
        "ignores the announcement of a runner that has ended",
      );
      return Result.ok({});
    }
    status?.recordContact();
    if (known !== undefined && isSameRunner(known, runner)) {
      return Result.ok({});
    }
    const ends = known !== undefined && known.bornAtMs < runner.bornAtMs
      ? await this.#closePrevious(known, runner)
      : [];
    // If a request stayed unanswered, the next announcement retries.
    return ends === undefined
      ? Result.ok({})
      : await this.#record(runner, ends);
  }

  /**
   * Records that runners have announced themselves without a change.
   *
   * @param incarnations - The runners; unknown ones are ignored, because their
   * next announcement is not known and arrives in full.
   */
  recordContacts(incarnations: readonly RunnerIncarnation[]): void {
    for (const incarnation of incarnations) {
      this.#options.fleet.findStatus(incarnation)?.recordContact();
    }
  }

  /**
   * Handles the notice of a runner that it is shutting down. A copy of the notice
   * may arrive after the runner has started again.
   *
   * @param departure - The runner, with its start time if the notice has it.
   * @returns Nothing, also if the notice is ignored.
   */
  leave(departure: RunnerDeparture): Result<unknown, Failure> {
    const { log, fleet, logger } = this.#options;
    const { runnerId, bornAtMs } = departure;
    const known = log.state.runners.get(runnerId);
    if (known === undefined) {
      return Result.ok({});
    }
    const fields = { runnerId, bornAtMs, knownBornAtMs: known.bornAtMs };
    if (isDepartureOf(departure, known)) {
      logger.info(fields, "a runner is shutting down");
      fleet.findStatus(known)?.recordNotice();
    } else {
      logger.info(fields, "ignores the departure of another incarnation");
    }
    return Result.ok({});
  }

  async #closePrevious(
    previous: Runner,
    runner: Runner,
  ): Promise<SchedulingOperation[] | undefined> {
    const { fleet } = this.#options;
    return await closePreviousIncarnation(
      {
        ...this.#options,
        findMaxAttempts: (run) => fleet.findMaxAttempts(run),
        findStatus: (incarnation) => fleet.findStatus(incarnation),
      },
      previous,
      runner,
    );
  }

  async #record(
    runner: Runner,
    ends: readonly SchedulingOperation[],
  ): Promise<Result<unknown, Failure>> {
    const { log, logger } = this.#options;
    const { runnerId, bornAtMs, pool, zone, isDraining } = runner;
    logger.info(
      { runnerId, bornAtMs, pool, zone, isDraining },
      "recording the announcement of a runner",
    );
    return await log.propose([...ends, { type: "runner", runner }]);
  }
}

// A runner drains before a planned end, so without a start time the notice can
// only be that of an incarnation that drains.
function isDepartureOf({ bornAtMs }: RunnerDeparture, known: Runner): boolean {
  return bornAtMs === undefined
    ? known.isDraining
    : bornAtMs === known.bornAtMs;
}

// It would shut out every later announcement under the same id.
function createFutureStart({ runnerId, bornAtMs }: Runner): Failure {
  return createFailure(
    "invalidInput",
    `runner ${runnerId}: bornAtMs is ${bornAtMs}, which is in the future`,
    { remedy: "announce the time at which the runner has started" },
  );
}
