/** Assignments of VMs to pools, and the rules for changing an assignment. */
import * as v from "valibot";
import { decisionRecordSchema } from "./decision_record.ts";
import { createFailure, type Failure } from "./errors.ts";

/** Schema of {@link AssignmentPhase}. */
export const assignmentPhaseSchema = v.picklist([
  "serving",
  "cordoned",
  "draining",
  "rebooting",
  "joining",
]);

/**
 * Step of a move or a reboot that a VM is in. Only a VM in `serving` gets new
 * work.
 */
export type AssignmentPhase = v.InferOutput<typeof assignmentPhaseSchema>;

/** Schema of {@link AssignmentPurpose}. */
export const assignmentPurposeSchema = v.picklist([
  "adopt",
  "move",
  "maintenance",
  "capacity",
]);

/** Reason for the last action that took a VM through the phases. */
export type AssignmentPurpose = v.InferOutput<typeof assignmentPurposeSchema>;

/** Schema of {@link VmAssignment}. */
export const vmAssignmentSchema = v.object({
  vm: v.string(),
  pool: v.string(),
  phase: assignmentPhaseSchema,
  targetPool: v.optional(v.string()),
  actionId: v.string(),
  operationId: v.string(),
  /** Wall-clock time at which the current step was written, in milliseconds. */
  startedAtMs: v.number(),
  /** Wall-clock time at which the action took the VM out of service (ms). */
  beganAtMs: v.optional(v.number()),
  purpose: v.optional(assignmentPurposeSchema),
  /** Spare pool that lends the VM while demand elsewhere is high. */
  loanedFrom: v.optional(v.string()),
  /**
   * Boot count before the reboot. A higher count proves that the VM has
   * rebooted.
   */
  bootCount: v.optional(v.number()),
  /**
   * Wall-clock time of the last completed maintenance, or of the first
   * assignment (`adopt`), in milliseconds.
   */
  maintainedAtMs: v.optional(v.number()),
  /**
   * Configuration revision in force at the last reboot. A reboot that was
   * declared in a later revision is still due.
   */
  maintainedRevision: v.optional(v.number()),
});

/** The pool of a VM and the step of the move or reboot that it is in. */
export type VmAssignment = v.InferOutput<typeof vmAssignmentSchema>;

/** Schema of {@link AssignGuard}. */
export const assignGuardSchema = v.object({
  /** Configuration revision on which the decision is based. */
  revision: v.number(),
  /** VMs of the pool that were not in `serving` when the writer decided. */
  busyVms: v.array(v.string()),
});

/**
 * Conditions under which a VM may be taken out of service. The command is
 * refused when the state has changed since the decision.
 */
export type AssignGuard = v.InferOutput<typeof assignGuardSchema>;

/** Schema of the command that records a step before it is carried out. */
export const assignCommandSchema = v.object({
  type: v.literal("assign"),
  /**
   * Operation id of the step that the writer read. The command is refused when
   * the VM is at another step.
   */
  expectedOperationId: v.optional(v.string()),
  assignment: vmAssignmentSchema,
  record: v.optional(decisionRecordSchema),
  guard: v.optional(assignGuardSchema),
});

/** Command that records one step of a VM. */
export type AssignCommand = v.InferOutput<typeof assignCommandSchema>;

/** Phases that may follow each phase. */
const NEXT_PHASES: Readonly<
  Record<AssignmentPhase, readonly AssignmentPhase[]>
> = {
  serving: ["serving", "cordoned"],
  cordoned: ["draining", "joining"],
  draining: ["draining", "rebooting", "joining"],
  rebooting: ["draining", "joining"],
  joining: ["joining", "serving"],
};

/** The state that {@link findAssignmentConflict} checks a command against. */
export interface AssignmentContext {
  /** Configuration revision in force. */
  readonly revision: number;
  /** Finds the assignment of a VM, if it has one. */
  findAssignment(vm: string): VmAssignment | undefined;
  /** Lists the assignments of all VMs. */
  listAssignments(): readonly VmAssignment[];
  /** Finds the declaration of a VM, if there is one. */
  find(kind: "vm", name: string): unknown;
}

/**
 * Checks whether the current state allows an assignment.
 *
 * @param command - The step to record.
 * @param context - The state that the command would change.
 * @returns A `conflict`, or undefined when the step may be recorded.
 */
export function findAssignmentConflict(
  command: AssignCommand,
  context: AssignmentContext,
): Failure | undefined {
  const { assignment, expectedOperationId } = command;
  const current = context.findAssignment(assignment.vm);
  if (current?.operationId !== expectedOperationId) {
    return createFailure(
      "conflict",
      `vm/${assignment.vm} is at step ${
        current?.operationId ?? "none"
      }, expected step ${expectedOperationId ?? "none"}`,
    );
  }
  return findStepConflict(assignment, current) ??
    findGuardConflict(command, context);
}

function findStepConflict(
  next: VmAssignment,
  current: VmAssignment | undefined,
): Failure | undefined {
  if (current === undefined) {
    return next.phase === "serving" ? undefined : createFailure(
      "conflict",
      `vm/${next.vm} has no pool yet and cannot enter phase ${next.phase}`,
    );
  }
  if (!NEXT_PHASES[current.phase].includes(next.phase)) {
    return createFailure(
      "conflict",
      `vm/${next.vm} cannot change from phase ${current.phase} to ${next.phase}`,
    );
  }
  // A VM must not get work for one pool while it is being prepared for another.
  const mayChangePool = current.phase === "joining" &&
    next.phase === "serving" && current.targetPool === next.pool;
  return current.pool === next.pool || mayChangePool
    ? undefined
    : createFailure(
      "conflict",
      `vm/${next.vm} is ${current.phase} in pool/${current.pool} and cannot change to pool/${next.pool} in this phase`,
    );
}

function findGuardConflict(
  command: AssignCommand,
  context: AssignmentContext,
): Failure | undefined {
  const { guard, assignment } = command;
  if (guard === undefined) {
    return undefined;
  }
  if (guard.revision !== context.revision) {
    return createFailure(
      "conflict",
      `the step of vm/${assignment.vm} is based on revision ${guard.revision}, but the configuration is at revision ${context.revision}`,
    );
  }
  const busy = context.listAssignments()
    .filter(({ vm, pool, phase }) =>
      pool === assignment.pool && phase !== "serving" &&
      context.find("vm", vm) !== undefined
    )
    .map(({ vm }) => vm);
  const known = new Set(guard.busyVms);
  const isSame = busy.length === known.size &&
    busy.every((vm) => known.has(vm));
  return isSame ? undefined : createFailure(
    "conflict",
    `the VMs of pool/${assignment.pool} that are out of service have changed since the step of vm/${assignment.vm} was decided`,
  );
}
