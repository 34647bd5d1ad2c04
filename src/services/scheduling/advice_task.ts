/** Tickets for the steps of queues whose runners an advice service approves. */
import {
  listReadySteps,
  measureFleetRoom,
  type OrderPolicy,
  type ReadyStep,
  type StepReference,
} from "../../decisions/index.ts";
import {
  type AdviceTerms,
  type Amounts,
  computeReservedAmounts,
  fitsInto,
  type JobStep,
  type Runner,
} from "../../domain/index.ts";
import type { AdviceClient, Clock, Logger } from "../../ports/index.ts";
import { type Notifier, waitFor } from "../../tasks/index.ts";
import { AdviceTurns } from "./advice_turns.ts";
import type { SchedulingLog } from "./scheduling_log.ts";
import {
  ADVICE_IDLE_MS,
  ADVICE_MARGIN_MS,
  ADVICE_RUNNER_COUNT,
  TICKET_MARGIN_MS,
} from "./timing.ts";

/** Options of {@link AdviceTask}. */
export interface AdviceTaskOptions {
  readonly log: SchedulingLog;
  readonly client: AdviceClient;
  readonly order: OrderPolicy;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Notified when the scheduling state or the tickets have changed. */
  readonly changed: Notifier;
  /** Returns whether a runner may get work. */
  readonly mayPlaceOn: (runner: Runner) => boolean;
}

interface Ticket {
  readonly text: string;
  /** Start time of the runner incarnation that the ticket is for. */
  readonly bornAtMs: number;
  /** Monotonic time at which the ticket is treated as expired (ms). */
  readonly untilMs: number;
}

interface StepTickets {
  /** Runners that the service has decided on, as `runnerId@bornAtMs`. */
  readonly requestedRunners: Set<string>;
  /** Newest ticket by runner id. */
  readonly byRunner: Map<string, Ticket>;
}

interface AdviceRequest {
  readonly step: ReadyStep;
  readonly runners: readonly Runner[];
  readonly terms: AdviceTerms;
}

/**
 * Requests tickets for ready steps, one request at a time, and keeps them until
 * their job has ended.
 */
export class AdviceTask {
  readonly #options: AdviceTaskOptions;
  readonly #ticketsByStep = new Map<string, StepTickets>();
  readonly #turns = new AdviceTurns(formatStep);

  constructor(options: AdviceTaskOptions) {
    this.#options = options;
  }

  /**
   * Finds the runners whose present incarnation holds a valid ticket for a step.
   *
   * @param step - The step.
   * @returns Runner ids, or undefined when the step's queue needs no advice.
   */
  findApproved(step: ReadyStep): ReadonlySet<string> | undefined {
    if (step.advice === undefined) {
      return undefined;
    }
    const { clock, log } = this.#options;
    const { runners } = log.state;
    const nowMs = clock.monotonicMs();
    const approved = new Set<string>();
    const tickets = this.#ticketsByStep.get(formatStep(step))?.byRunner ?? [];
    for (const [runnerId, { bornAtMs, untilMs }] of tickets) {
      const isCurrent = runners.get(runnerId)?.bornAtMs === bornAtMs;
      if (isCurrent && untilMs > nowMs) {
        approved.add(runnerId);
      }
    }
    return approved;
  }

  /**
   * Finds the ticket to send with a start request.
   *
   * @param name - Job, occurrence and step.
   * @param runner - The runner on which the task starts.
   * @returns The ticket, or undefined when this incarnation has no valid one.
   */
  findTicket(name: StepReference, runner: Runner): string | undefined {
    const ticket = this.#ticketsByStep.get(formatName(name))
      ?.byRunner.get(runner.runnerId);
    const isValid = ticket !== undefined &&
      ticket.bornAtMs === runner.bornAtMs &&
      ticket.untilMs > this.#options.clock.monotonicMs();
    return isValid ? ticket.text : undefined;
  }

  /**
   * Requests tickets until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, changed, log } = this.#options;
    while (!signal.aborted) {
      const request = log.holdsLeaderLease ? this.#chooseRequest() : undefined;
      if (request === undefined) {
        await waitFor({
          clock,
          notifier: changed,
          timeoutMs: ADVICE_IDLE_MS,
          signal,
          isMet: () => this.#chooseRequest() !== undefined,
        });
        continue;
      }
      await this.#requestAdvice(request);
    }
  }

  #chooseRequest(): AdviceRequest | undefined {
    const { clock, log, order } = this.#options;
    const { state } = log;
    if (!state.catalog.queues.some(({ advice }) => advice !== undefined)) {
      return undefined;
    }
    const nowMs = clock.nowMs();
    const waiting = listReadySteps(state.jobs, state.catalog, nowMs);
    const ready = waiting.filter(({ advice }) => advice !== undefined);
    this.#dropEndedJobs(ready);
    const wanting = new Set(ready.filter((step) => !this.#hasEnough(step)));
    const openRunners = this.#listOpenRunners(wanting);
    const room = measureFleetRoom({
      state,
      pools: new Set(openRunners.keys()),
      mayPlaceOn: (runner) =>
        openRunners.get(runner.pool)?.has(runner) ?? false,
      nowMs,
    });
    // All waiting steps are ordered, so that the planner and this task agree.
    const ordered = order.sort(waiting, nowMs, room)
      .filter((step) => wanting.has(step));
    const runnersByPool = new Map(
      [...openRunners].map(([pool, runners]) => [pool, [...runners]]),
    );
    for (const step of this.#turns.sort(ordered)) {
      const terms = step.advice;
      const inPool = runnersByPool.get(step.pool);
      if (terms === undefined || inPool === undefined) {
        continue;
      }
      const runners = this.#chooseRunners(step, inPool);
      if (runners.length > 0) {
        return { step, runners, terms };
      }
    }
    return undefined;
  }

  #hasEnough(step: ReadyStep): boolean {
    const approvedCount = this.findApproved(step)?.size ?? 0;
    return approvedCount >= step.record.waitingCount;
  }

  #listOpenRunners(steps: Iterable<ReadyStep>): Map<string, Set<Runner>> {
    const { log, mayPlaceOn } = this.#options;
    const byPool = new Map<string, Set<Runner>>();
    for (const { pool } of steps) {
      byPool.set(pool, new Set());
    }
    for (const runner of byPool.size === 0 ? [] : log.state.runners.values()) {
      const inPool = byPool.get(runner.pool);
      if (inPool !== undefined && mayPlaceOn(runner)) {
        inPool.add(runner);
      }
    }
    return byPool;
  }

  #chooseRunners(step: ReadyStep, inPool: readonly Runner[]): Runner[] {
    const known = this.#ticketsByStep.get(formatStep(step));
    const held = computeReservedAmounts(step.step);
    const candidates = inPool.filter((runner) => {
      if (!canHost(runner, step.step, held)) {
        return false;
      }
      const ticket = known?.byRunner.get(runner.runnerId);
      const isKnown = known?.requestedRunners.has(
        `${runner.runnerId}@${runner.bornAtMs}`,
      );
      const isExpired = ticket !== undefined &&
        ticket.untilMs <= this.#options.clock.monotonicMs();
      return !isKnown || isExpired;
    });
    return candidates.slice(0, ADVICE_RUNNER_COUNT);
  }

  async #requestAdvice(
    { runners, step, terms }: AdviceRequest,
  ): Promise<void> {
    const { client, clock, changed, logger } = this.#options;
    const name = toName(step);
    const requestedAtMs = clock.monotonicMs();
    this.#turns.record(step, requestedAtMs);
    const expectedMs = terms.decisionMs + terms.perRunnerMs * runners.length;
    const answered = await client.requestAdvice(
      name,
      runners.map(({ runnerId }) => runnerId),
      expectedMs + ADVICE_MARGIN_MS,
    );
    if (answered.isErr) {
      logger.warn(
        { ...name, failure: answered.error },
        "failed to get tickets from the advice service",
      );
      await clock.sleep(ADVICE_IDLE_MS);
      return;
    }
    const { tickets, validMs } = answered.value;
    const key = formatStep(step);
    const known = this.#ticketsByStep.get(key) ??
      {
        requestedRunners: new Set<string>(),
        byRunner: new Map<string, Ticket>(),
      };
    this.#ticketsByStep.set(key, known);
    for (const { runnerId, bornAtMs } of runners) {
      const text = tickets.get(runnerId);
      known.requestedRunners.add(`${runnerId}@${bornAtMs}`);
      if (text !== undefined) {
        // The ticket may have been issued as early as the request was sent.
        const untilMs = requestedAtMs + validMs - TICKET_MARGIN_MS;
        known.byRunner.set(runnerId, { text, bornAtMs, untilMs });
      }
    }
    logger.info(
      { ...name, askedCount: runners.length, approvedCount: tickets.size },
      "received tickets from the advice service",
    );
    changed.notify();
  }

  #dropEndedJobs(ready: readonly ReadyStep[]): void {
    const { jobs } = this.#options.log.state;
    const wanted = new Set(ready.map(formatStep));
    for (const key of this.#turns.steps) {
      const job = jobs.find(key.split(".")[0] ?? "");
      if (!wanted.has(key) && job?.outcome !== undefined) {
        this.#ticketsByStep.delete(key);
        this.#turns.drop(key);
      }
    }
  }
}

// The service decides for one caller at a time, and its answer about a runner
// that is too small or of another kind would be of no use.
function canHost(
  { capacity, labels }: Runner,
  { requiredLabel }: JobStep,
  held: Amounts,
): boolean {
  return fitsInto(held, capacity) &&
    (requiredLabel === undefined || labels.includes(requiredLabel));
}

function toName(step: ReadyStep): StepReference {
  return {
    jobId: step.job.spec.jobId,
    occurrence: step.occurrence,
    step: step.stepIndex,
  };
}

function formatStep(step: ReadyStep): string {
  return formatName(toName(step));
}

function formatName({ jobId, occurrence, step }: StepReference): string {
  return `${jobId}.${occurrence}.${step}`;
}
