/** Assignments of VMs to pools, and the rules for changing them. */
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

/** Step of a move or a reboot; only a serving VM gets new work. */
export type AssignmentPhase = v.InferOutput<typeof assignmentPhaseSchema>;

/** Schema of {@link AssignmentPurpose}. */
export const assignmentPurposeSchema = v.picklist([
  "adopt",
  "move",
  "maintenance",
  "capacity",
]);

/** Why a VM was last taken through the steps. */
export type AssignmentPurpose = v.InferOutput<typeof assignmentPurposeSchema>;

/** Schema of {@link VmAssignment}. */
export const vmAssignmentSchema = v.object({
  vm: v.string(),
  pool: v.string(),
  phase: assignmentPhaseSchema,
  targetPool: v.optional(v.string()),
  actionId: v.string(),
  operationId: v.string(),
  /** Wall-clock time at which the step was written. */
  startedAtMs: v.number(),
  /** Wall-clock time at which the action took the VM out of service. */
  beganAtMs: v.optional(v.number()),
  purpose: v.optional(assignmentPurposeSchema),
  /** Spare pool that lends the VM while demand elsewhere is high. */
  loanedFrom: v.optional(v.string()),
  /** Boot count before the reboot, so that a later one proves the reboot. */
  bootCount: v.optional(v.number()),
  /** Wall-clock time of the last completed maintenance, or of the adoption. */
  maintainedAtMs: v.optional(v.number()),
  /** Configuration revision that the last reboot came after. */
  maintainedRevision: v.optional(v.number()),
});

/** The one pool of a VM, and the step of the move or reboot it is in. */
export type VmAssignment = v.InferOutput<typeof vmAssignmentSchema>;

/** Schema of {@link AssignGuard}. */
export const assignGuardSchema = v.object({
  /** Configuration revision that the decision was made on. */
  revision: v.number(),
  /** VMs of the pool that the writer knew to be in a step other than serving. */
  busyVms: v.array(v.string()),
});

/** What must still hold for a VM to be taken out of service. */
export type AssignGuard = v.InferOutput<typeof assignGuardSchema>;

/** Schema of the command that writes a step of a move before it is taken. */
export const assignCommandSchema = v.object({
  type: v.literal("assign"),
  /** Step that the writer saw; another value refuses the command. */
  expectedOperationId: v.optional(v.string()),
  assignment: vmAssignmentSchema,
  record: v.optional(decisionRecordSchema),
  guard: v.optional(assignGuardSchema),
});

/** Command that writes one step of a VM. */
export type AssignCommand = v.InferOutput<typeof assignCommandSchema>;

/** Steps that may follow a step. */
const NEXT_PHASES: Readonly<
  Record<AssignmentPhase, readonly AssignmentPhase[]>
> = {
  serving: ["serving", "cordoned"],
  cordoned: ["draining", "joining"],
  draining: ["draining", "rebooting", "joining"],
  rebooting: ["draining", "joining"],
  joining: ["joining", "serving"],
};

/** The state that {@link findAssignmentConflict} judges against. */
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
 * Finds what forbids an assignment.
 *
 * @param command - The step to write.
 * @param context - The state that it would change.
 * @returns A `conflict`, or undefined when the step may be written.
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
      `vm/${assignment.vm} is at step ${current?.operationId ?? "none"}, not ${
        expectedOperationId ?? "none"
      }`,
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
      `vm/${next.vm} has no pool yet and cannot be ${next.phase}`,
    );
  }
  if (!NEXT_PHASES[current.phase].includes(next.phase)) {
    return createFailure(
      "conflict",
      `vm/${next.vm} is ${current.phase} and cannot be ${next.phase} next`,
    );
  }
  // Work for one pool must never meet a VM that is being prepared for another.
  const mayChangePool = current.phase === "joining" &&
    next.phase === "serving" && current.targetPool === next.pool;
  return current.pool === next.pool || mayChangePool
    ? undefined
    : createFailure(
      "conflict",
      `vm/${next.vm} is ${current.phase} in pool/${current.pool} and cannot change to pool/${next.pool}`,
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
      `the step of vm/${assignment.vm} was decided on revision ${guard.revision}, the configuration is at ${context.revision}`,
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
    `other VMs of pool/${assignment.pool} are out of service than the step of vm/${assignment.vm} was decided on`,
  );
}
