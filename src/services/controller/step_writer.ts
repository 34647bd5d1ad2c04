/** Writes steps of VMs to the replicated log before they are carried out. */
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
  /** The next assignment, without the fields that the writer fills in. */
  readonly next:
    & Pick<VmAssignment, "pool" | "phase" | "actionId">
    & Partial<VmAssignment>;
  readonly guard?: AssignGuard;
  /** Original start of a repeated step; the current time by default. */
  readonly startedAtMs?: number;
  /** Reason for the decision record; undefined when none is needed. */
  readonly reason?: StepReason;
}

/** Contents of a step's decision record. */
export interface StepReason {
  readonly action: DecisionRecord["action"];
  readonly summary: string;
  readonly causes?: readonly DecisionCause[];
  readonly figures?: Readonly<Record<string, number>>;
  readonly rejected?: readonly string[];
}

/**
 * Proposes steps to the replicated log. Each step has an operation id and names
 * the operation id of the step before it.
 */
export class StepWriter {
  readonly #options: StepWriterOptions;

  constructor(options: StepWriterOptions) {
    this.#options = options;
  }

  /**
   * Writes a step.
   *
   * @param step - The step and its reason.
   * @returns The assignment when it is durable and applied on this entry.
   * Undefined when the step was refused or its outcome is unknown; the caller
   * must read the state again.
   */
  async write(step: Step): Promise<VmAssignment | undefined> {
    const { agreement, clock, random, logger } = this.#options;
    const { vm, next, guard, reason } = step;
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
        "failed to write a VM step; the next round decides again",
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
