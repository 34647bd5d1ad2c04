/** Writes the steps of VMs durably, before they are taken. */
import type {
  AssignGuard,
  DecisionCause,
  DecisionRecord,
  VmAssignment,
} from "../../domain/index.ts";
import type { VmView } from "../../decisions/index.ts";
import type { Agreement, Clock, Logger, Random } from "../../ports/index.ts";

/** Options of {@link StepWriter}. */
export interface StepWriterOptions {
  readonly agreement: Agreement;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

/** A step to write. */
export interface Step {
  readonly vm: VmView;
  /** Fields that differ from the present assignment. */
  readonly next:
    & Pick<VmAssignment, "pool" | "phase" | "actionId">
    & Partial<VmAssignment>;
  readonly guard?: AssignGuard;
  /** Begin of the step when it is only repeated; now by default. */
  readonly startedAtMs?: number;
  /** Why; undefined for steps that need no record. */
  readonly reason?: StepReason;
}

/** The record of a step. */
export interface StepReason {
  readonly action: DecisionRecord["action"];
  readonly summary: string;
  readonly causes?: readonly DecisionCause[];
  readonly figures?: Readonly<Record<string, number>>;
  readonly rejected?: readonly string[];
}

/** Proposes steps; each has an operation id and names the step before it. */
export class StepWriter {
  readonly #options: StepWriterOptions;

  constructor(options: StepWriterOptions) {
    this.#options = options;
  }

  /**
   * Writes a step.
   *
   * @param step - The step and why it is taken.
   * @returns The assignment when it is durable and applied here; undefined when
   * it is not or when that is in doubt, and the state has to be read again.
   */
  async write(step: Step): Promise<VmAssignment | undefined> {
    const { agreement, clock, random, logger } = this.#options;
    const { vm, next, guard, reason: reason } = step;
    const assignment: VmAssignment = {
      ...next,
      vm: vm.name,
      operationId: `step-${random.nextId()}`,
      startedAtMs: step.startedAtMs ?? clock.nowMs(),
    };
    const before = vm.assignment?.operationId;
    const proposed = await agreement.propose({
      type: "assign",
      assignment,
      ...(before === undefined ? {} : { expectedOperationId: before }),
      ...(guard === undefined ? {} : { guard }),
      ...(reason === undefined
        ? {}
        : { record: this.#createRecord(assignment, reason) }),
    });
    if (proposed.isErr) {
      logger.info(
        { vm: vm.name, phase: next.phase, failure: proposed.error },
        "a step was not written; it is decided again",
      );
      return undefined;
    }
    return assignment;
  }

  #createRecord(assignment: VmAssignment, reason: StepReason): DecisionRecord {
    const { vm, pool, targetPool, actionId, operationId } = assignment;
    const pools = targetPool === undefined || targetPool === pool
      ? [`pool/${pool}`]
      : [`pool/${pool}`, `pool/${targetPool}`];
    return {
      decisionId: operationId,
      atMs: assignment.startedAtMs,
      action: reason.action,
      subjects: [`vm/${vm}`, ...pools, `action/${actionId}`],
      summary: reason.summary,
      revision: this.#options.agreement.state.revision,
      causes: [...(reason.causes ?? [])],
      figures: { ...reason.figures },
      rejected: [...(reason.rejected ?? [])],
      count: 1,
    };
  }
}
