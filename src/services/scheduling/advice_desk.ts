/** Tickets for steps whose queue lets an advice service choose the runners. */
import {
  listReadySteps,
  type OrderPolicy,
  type ReadyStep,
  type StepReference,
} from "../../decisions/index.ts";
import type { AdviceTerms, Runner } from "../../domain/index.ts";
import type { AdviceClient, Clock, Logger } from "../../ports/index.ts";
import { type Notifier, waitFor } from "../../tasks/index.ts";
import type { SchedulingLog } from "./scheduling_log.ts";
import {
  ADVICE_IDLE_MS,
  ADVICE_MARGIN_MS,
  ADVICE_RUNNER_COUNT,
  TICKET_MARGIN_MS,
} from "./timing.ts";

/** Options of {@link AdviceDesk}. */
export interface AdviceDeskOptions {
  readonly log: SchedulingLog;
  readonly client: AdviceClient;
  readonly order: OrderPolicy;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly changed: Notifier;
  /** Tells whether a runner may get work. */
  readonly mayPlaceOn: (runner: Runner) => boolean;
}

interface Ticket {
  readonly text: string;
  readonly bornAtMs: number;
  readonly untilMs: number;
}

interface StepTickets {
  readonly asked: Set<string>;
  readonly byRunner: Map<string, Ticket>;
}

/** Asks one question after the other, the most urgent step first. */
export class AdviceDesk {
  readonly #options: AdviceDeskOptions;
  readonly #steps = new Map<string, StepTickets>();

  constructor(options: AdviceDeskOptions) {
    this.#options = options;
  }

  /**
   * Finds the runners that may run a step.
   *
   * @param step - The step.
   * @returns Runner ids, or undefined where no advice is needed.
   */
  findApproved(step: ReadyStep): ReadonlySet<string> | undefined {
    if (step.advice === undefined) {
      return undefined;
    }
    const tickets = this.#steps.get(formatStep(step))?.byRunner ?? new Map();
    const nowMs = this.#options.clock.monotonicMs();
    const valid = [...tickets].filter(([, ticket]) => ticket.untilMs > nowMs);
    return new Set(valid.map(([runnerId]) => runnerId));
  }

  /**
   * Finds the ticket for a start.
   *
   * @param name - Job, occurrence and step.
   * @param runner - Where the task starts.
   */
  findTicket(name: StepReference, runner: Runner): string | undefined {
    const ticket = this.#steps.get(formatName(name))
      ?.byRunner.get(runner.runnerId);
    return ticket?.bornAtMs === runner.bornAtMs ? ticket.text : undefined;
  }

  /**
   * Asks until the signal aborts.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, changed, log } = this.#options;
    while (!signal.aborted) {
      const question = log.mayOrder ? this.#chooseQuestion() : undefined;
      if (question === undefined) {
        await waitFor({
          clock,
          notifier: changed,
          timeoutMs: ADVICE_IDLE_MS,
          signal,
          isMet: () => this.#chooseQuestion() !== undefined,
        });
        continue;
      }
      await this.#ask(question.step, question.runners, question.terms);
    }
  }

  #chooseQuestion():
    | { step: ReadyStep; runners: Runner[]; terms: AdviceTerms }
    | undefined {
    const { clock, log, order } = this.#options;
    const { state } = log;
    if (!state.catalog.queues.some(({ advice }) => advice !== undefined)) {
      return undefined;
    }
    const nowMs = clock.nowMs();
    const ready = listReadySteps(state.jobs, state.catalog, nowMs)
      .filter(({ advice }) => advice !== undefined);
    this.#forgetOthers(ready);
    for (const step of order.sort(ready, nowMs)) {
      const runners = this.#listUnasked(step);
      const terms = step.advice;
      const hasEnough = (this.findApproved(step)?.size ?? 0) >=
        step.record.waitingCount;
      if (terms !== undefined && runners.length > 0 && !hasEnough) {
        return { step, runners, terms };
      }
    }
    return undefined;
  }

  #listUnasked(step: ReadyStep): Runner[] {
    const { log, mayPlaceOn } = this.#options;
    const known = this.#steps.get(formatStep(step));
    const inPool = [...log.state.runners.values()].filter((runner) =>
      runner.pool === step.pool && mayPlaceOn(runner)
    );
    const unasked = inPool.filter((runner) => {
      const ticket = known?.byRunner.get(runner.runnerId);
      const isKnown = known?.asked.has(`${runner.runnerId}@${runner.bornAtMs}`);
      const isOver = ticket !== undefined &&
        ticket.untilMs <= this.#options.clock.monotonicMs();
      return !isKnown || isOver;
    });
    return unasked.slice(0, ADVICE_RUNNER_COUNT);
  }

  async #ask(
    step: ReadyStep,
    runners: readonly Runner[],
    terms: AdviceTerms,
  ): Promise<void> {
    const { client, clock, changed, logger } = this.#options;
    const name = toName(step);
    const askedAtMs = clock.monotonicMs();
    const expectedMs = terms.decisionMs + terms.perRunnerMs * runners.length;
    const asked = await client.ask(
      name,
      runners.map(({ runnerId }) => runnerId),
      expectedMs + ADVICE_MARGIN_MS,
    );
    if (asked.isErr) {
      logger.warn({ ...name, failure: asked.error }, "got no advice");
      await clock.sleep(ADVICE_IDLE_MS);
      return;
    }
    const { tickets, validMs } = asked.value;
    const key = formatStep(step);
    const known = this.#steps.get(key) ??
      { asked: new Set<string>(), byRunner: new Map<string, Ticket>() };
    this.#steps.set(key, known);
    for (const { runnerId, bornAtMs } of runners) {
      const text = tickets.get(runnerId);
      known.asked.add(`${runnerId}@${bornAtMs}`);
      if (text !== undefined) {
        // The ticket may have been written when the question arrived.
        const untilMs = askedAtMs + validMs - TICKET_MARGIN_MS;
        known.byRunner.set(runnerId, { text, bornAtMs, untilMs });
      }
    }
    logger.info(
      { ...name, askedCount: runners.length, approvedCount: tickets.size },
      "got advice",
    );
    changed.notify();
  }

  #forgetOthers(ready: readonly ReadyStep[]): void {
    if (this.#steps.size === 0) {
      return;
    }
    const { jobs } = this.#options.log.state;
    const wanted = new Set(ready.map(formatStep));
    for (const key of this.#steps.keys()) {
      const job = jobs.find(key.split(".")[0] ?? "");
      if (!wanted.has(key) && job?.outcome !== undefined) {
        this.#steps.delete(key);
      }
    }
  }
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
