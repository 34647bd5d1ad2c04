/** An action that a policy wants, before budgets are asked. */
import type { AssignmentPurpose, DecisionCause } from "../../domain/index.ts";
import type { VmView } from "../fleet/index.ts";

/** Taking one VM through cordon, drain, reboot and join. */
export interface RequestedAction {
  readonly vm: VmView;
  readonly purpose: AssignmentPurpose;
  /** Id under which operators ask for the action. */
  readonly actionId: string;
  readonly targetPool: string | undefined;
  /** Spare pool that lends the VM; set only for capacity moves. */
  readonly loanedFrom: string | undefined;
  readonly summary: string;
  readonly causes: readonly DecisionCause[];
  readonly figures: Readonly<Record<string, number>>;
  /** Alternatives that were weighed and not taken. */
  readonly rejected: readonly string[];
}
