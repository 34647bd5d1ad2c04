/** An action that a policy requests. Budgets are checked before it starts. */
import type { AssignmentPurpose, DecisionCause } from "../../domain/index.ts";
import type { VmView } from "../fleet/index.ts";

/**
 * A requested move or reboot, which cordons, drains, reboots and joins one VM.
 */
export interface RequestedAction {
  readonly vm: VmView;
  readonly purpose: AssignmentPurpose;
  /** Id by which operators look up the action; all VMs of a wave share one. */
  readonly actionId: string;
  readonly targetPool: string | undefined;
  /** Spare pool that lends the VM; set only for capacity moves. */
  readonly loanedFrom: string | undefined;
  readonly summary: string;
  readonly causes: readonly DecisionCause[];
  readonly figures: Readonly<Record<string, number>>;
  /** Alternatives that were considered and rejected. */
  readonly rejected: readonly string[];
}
