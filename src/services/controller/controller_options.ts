/** Options of the controller and the observations that it works on. */
import type {
  BudgetPolicy,
  FleetView,
  MovePolicy,
  PoolDemand,
  PressurePolicy,
  WavePolicy,
} from "../../decisions/index.ts";
import type {
  Agreement,
  Clock,
  Logger,
  Platform,
  PlatformTask,
  Random,
} from "../../ports/index.ts";
import type { DecisionRecorder } from "../decision_recorder.ts";
import type { InForceWait } from "./in_force.ts";

/** Options of the controller. */
export interface ControllerOptions {
  readonly agreement: Agreement;
  readonly platform: Platform;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly recorder: DecisionRecorder;
  readonly budgets: BudgetPolicy;
  readonly waves: WavePolicy;
  readonly moves: MovePolicy;
  readonly pressure: PressurePolicy;
  readonly inForce: InForceWait;
  /**
   * Counts the requests that backend servers of a VM report as running. With
   * this second source, a wrong answer of the platform alone never causes a
   * reboot.
   */
  readonly countRunningRequests: (vm: string) => number;
  /** Lists the demand on each pool. */
  readonly listDemand: () => readonly PoolDemand[];
}

/** What the platform reported in one round. */
export interface Observation {
  readonly view: FleetView;
  readonly tasks: readonly PlatformTask[];
  /** Tasks by the name of the VM that runs them. */
  readonly tasksByVm: ReadonlyMap<string, readonly PlatformTask[]>;
}
