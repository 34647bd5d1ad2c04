/** Predicts the effects of a configuration change without applying it. */
import { Result } from "true-myth";
import * as v from "valibot";
import {
  type BudgetPolicy,
  type BudgetUse,
  describeClash,
  describeUse,
  findLabelMoves,
  findLostWork,
  FleetView,
  type LostWork,
  type RequestedAction,
  type WavePolicy,
} from "../decisions/index.ts";
import {
  changeSchema,
  type Failure,
  FleetState,
  validateWith,
} from "../domain/index.ts";
import type { Agreement, Clock, PlatformVm } from "../ports/index.ts";

const PLAN_OPERATION_ID = "plan-without-effect";

/** Schema of a planned change: a change without operation id and revision. */
export const planInputSchema = v.omit(changeSchema, [
  "operationId",
  "expectedRevision",
]);

/** A planned change. */
export type PlanInput = v.InferOutput<typeof planInputSchema>;

/** Options of {@link PlanService}. */
export interface PlanServiceOptions {
  readonly agreement: Agreement;
  readonly clock: Clock;
  readonly budgets: BudgetPolicy;
  readonly waves: WavePolicy;
  /**
   * Returns the VMs in the latest report of the platform; undefined on entries
   * that do not poll it.
   */
  readonly findPlatformVms: () => readonly PlatformVm[] | undefined;
}

/** A planned action: it drains and reboots one VM. */
export interface PlannedAction {
  readonly vm: string;
  readonly actionId: string;
  readonly pool: string;
  readonly targetPool: string | undefined;
  readonly summary: string;
  /** Budget that delays the action; undefined when it would start at once. */
  readonly waitsFor: string | undefined;
}

/** Predicted effects of a change. */
export interface Plan {
  /** Configuration revision on which the plan is based. */
  readonly revision: number;
  readonly actions: readonly PlannedAction[];
  /** VMs that would stay in their pool because selectors clash. */
  readonly clashes: readonly string[];
  /** Budgets in use in the affected pools after the first actions start. */
  readonly budgets: readonly string[];
  /** Zones that the change would take out of service. */
  readonly zonesOut: readonly string[];
  /** Zones that the change would return to service. */
  readonly zonesBack: readonly string[];
  /** Work that the change would no longer allow. */
  readonly lostWork: readonly LostWork[];
}

/** Runs the decision classes of the controller on a copy of the state. */
export class PlanService {
  readonly #options: PlanServiceOptions;

  constructor(options: PlanServiceOptions) {
    this.#options = options;
  }

  /**
   * Plans a change.
   *
   * @param input - Resources to declare and to delete, not validated yet.
   * @returns The predicted effects, or why the change cannot be applied.
   */
  plan(input: unknown): Result<Plan, Failure> {
    const planned = validateWith(planInputSchema, input, { subject: "plan" });
    return planned.andThen((change) => this.#planChange(change));
  }

  #planChange(change: PlanInput): Result<Plan, Failure> {
    const { agreement, clock } = this.#options;
    const before = this.#copyWithAdoptions(agreement.state);
    const after = this.#copyWithAdoptions(before);
    const applied = after.apply({
      type: "change",
      operator: "plan",
      atMs: clock.nowMs(),
      change: {
        ...change,
        operationId: PLAN_OPERATION_ID,
        expectedRevision: after.revision,
      },
    });
    return applied.map(() => this.#compare(before, after));
  }

  #compare(before: FleetState, after: FleetState): Plan {
    const platformVms = this.#options.findPlatformVms();
    const viewBefore = new FleetView(before, platformVms);
    const viewAfter = new FleetView(after, platformVms);
    const labels = findLabelMoves(viewAfter);
    const requestedActions = [
      ...labels.moves,
      ...this.#findNewReboots(viewBefore, viewAfter),
    ];
    const actions = requestedActions.map((requested) =>
      this.#simulateStart(requested, viewAfter)
    );
    const pools = new Set(actions.map(({ pool }) => pool));
    const uses = [...pools].flatMap((pool) =>
      this.#options.budgets.listUses(viewAfter, pool)
    );
    const outBefore = [...viewBefore.zonesOut.keys()];
    const outAfter = [...viewAfter.zonesOut.keys()];
    return {
      revision: before.revision,
      actions,
      clashes: labels.clashes.map((clash) => describeClash(clash)),
      budgets: uses.filter(isInUse).map((use) => describeUse(use)),
      zonesOut: outAfter.filter((zone) => !outBefore.includes(zone)),
      zonesBack: outBefore.filter((zone) => !outAfter.includes(zone)),
      lostWork: findLostWork(before, after),
    };
  }

  #findNewReboots(before: FleetView, after: FleetView): RequestedAction[] {
    const { clock, waves } = this.#options;
    const nowMs = clock.nowMs();
    const due = new Set(
      waves.listDue(before, nowMs).map(({ vm, actionId }) =>
        `${vm.name} ${actionId}`
      ),
    );
    return waves.listDue(after, nowMs).filter(({ vm, actionId }) =>
      !due.has(`${vm.name} ${actionId}`)
    );
  }

  // Starts the action on the copy, so that the budget counts it for later ones.
  #simulateStart(requested: RequestedAction, view: FleetView): PlannedAction {
    const vm = view.find(requested.vm.name) ?? requested.vm;
    const exhausted = this.#options.budgets.findExhausted(view, vm);
    if (exhausted === undefined && vm.assignment?.phase === "serving") {
      view.state.apply({
        type: "assign",
        expectedOperationId: vm.assignment.operationId,
        assignment: {
          ...vm.assignment,
          phase: "cordoned",
          actionId: requested.actionId,
          operationId: `${PLAN_OPERATION_ID} ${vm.name}`,
        },
      });
      view.refresh(vm.name);
    }
    return {
      vm: vm.name,
      actionId: requested.actionId,
      pool: vm.pool ?? "",
      targetPool: requested.targetPool,
      summary: requested.summary,
      waitsFor: exhausted && describeUse(exhausted),
    };
  }

  // VMs that no controller has adopted yet are assigned to their pools here, so
  // that the plan treats them like adopted ones.
  #copyWithAdoptions(state: FleetState): FleetState {
    const copy = FleetState.restore(state.toSnapshot());
    for (const { name, pool, assignment } of new FleetView(copy).list()) {
      if (assignment === undefined && pool !== undefined) {
        copy.apply({
          type: "assign",
          assignment: {
            vm: name,
            pool,
            phase: "serving",
            actionId: `adopt.${name}`,
            operationId: `${PLAN_OPERATION_ID} adopt ${name}`,
            startedAtMs: this.#options.clock.nowMs(),
            maintainedAtMs: this.#options.clock.nowMs(),
            maintainedRevision: copy.revision,
          },
        });
      }
    }
    return copy;
  }
}

function isInUse({ unavailable }: BudgetUse): boolean {
  return unavailable.length > 0;
}
