/** Starts the actions that labels, maintenance and demand require. */
import {
  type BudgetUse,
  describeClash,
  describeUse,
  findLabelMoves,
  findWaveFailure,
  type FleetView,
  type LabelMoves,
  type RequestedAction,
  type VmView,
} from "../../decisions/index.ts";
import type { ControllerOptions, Observation } from "./controller_options.ts";
import type { NoticeLog } from "./notice_log.ts";
import type { StepWriter } from "./step_writer.ts";

/** Maximum number of actions that one round starts. */
const MAX_STARTS_PER_ROUND = 20;

/**
 * Checks requested actions against waves and budgets, one after the other, and
 * writes the first step of those that may start.
 */
export class ActionStarter {
  readonly #options: ControllerOptions;
  readonly #writer: StepWriter;
  readonly #notices: NoticeLog;
  readonly #failures = new Map<string, VmView | undefined>();

  constructor(
    options: ControllerOptions,
    writer: StepWriter,
    notices: NoticeLog,
  ) {
    this.#options = options;
    this.#writer = writer;
    this.#notices = notices;
  }

  /**
   * Starts the requested actions that are allowed and reports why others wait.
   *
   * @param observation - What the platform reported.
   */
  async start(observation: Observation): Promise<void> {
    const { clock, moves, waves, listDemand } = this.#options;
    const { view } = observation;
    const labels = findLabelMoves(view);
    this.#reportClashes(labels);
    const requestedActions = [
      ...labels.moves,
      ...waves.listDue(view, clock.nowMs()),
      ...moves.decide({
        view,
        demand: listDemand(),
        nowMs: clock.nowMs(),
        monotonicMs: clock.monotonicMs(),
      }),
    ];
    let startedCount = 0;
    this.#failures.clear();
    for (const requested of requestedActions) {
      if (startedCount < MAX_STARTS_PER_ROUND) {
        startedCount += Number(await this.#tryStart(requested, observation));
      }
    }
  }

  async #tryStart(
    requested: RequestedAction,
    { view }: Observation,
  ): Promise<boolean> {
    const vm = view.find(requested.vm.name);
    if (vm?.assignment?.phase !== "serving") {
      return false;
    }
    const failed = this.#findFailure(requested, view);
    if (failed !== undefined) {
      this.#reportStoppedAction(requested, failed);
      return false;
    }
    const exhausted = this.#options.budgets.findExhausted(view, vm);
    if (exhausted !== undefined) {
      this.#reportBudgetWait(requested, exhausted);
      return false;
    }
    const isWritten = await this.#write(requested, vm, view);
    view.refresh(vm.name);
    return isWritten;
  }

  // Scans the fleet once for each wave instead of once for each of its VMs.
  #findFailure(
    { actionId }: RequestedAction,
    view: FleetView,
  ): VmView | undefined {
    if (!this.#failures.has(actionId)) {
      const nowMs = this.#options.clock.nowMs();
      this.#failures.set(actionId, findWaveFailure(view, actionId, nowMs));
    }
    return this.#failures.get(actionId);
  }

  async #write(
    requested: RequestedAction,
    vm: VmView,
    view: FleetView,
  ): Promise<boolean> {
    const { assignment } = vm;
    if (assignment === undefined) {
      return false;
    }
    // The guard names the VMs on which the budget check was based. If another
    // controller has written a step since, the log refuses this one.
    const busyVms = view.listPool(assignment.pool)
      .filter(({ outage }) => outage === "busy")
      .map(({ name }) => name);
    const written = await this.#writer.write({
      vm,
      next: {
        ...assignment,
        phase: "cordoned",
        beganAtMs: this.#options.clock.nowMs(),
        purpose: requested.purpose,
        actionId: requested.actionId,
        targetPool: requested.targetPool,
        loanedFrom: requested.loanedFrom ?? assignment.loanedFrom,
      },
      guard: { revision: view.revision, busyVms },
      reason: {
        action: requested.purpose === "maintenance" ? "drain" : "move",
        summary: requested.summary,
        causes: requested.causes,
        figures: requested.figures,
        rejected: requested.rejected,
      },
    });
    return written !== undefined;
  }

  #reportClashes({ clashes }: LabelMoves): void {
    for (const clash of clashes) {
      const { vm, wanted } = clash;
      const names = wanted.claiming.map(({ resource }) => resource.name);
      this.#notices.report({
        key: `vm/${vm.name} clash`,
        reason: names.join(" "),
        subjects: [
          `vm/${vm.name}`,
          ...names.map((name) => `pool/${name}`),
        ],
        summary: describeClash(clash),
        causes: wanted.causes,
      });
    }
  }

  #reportBudgetWait(requested: RequestedAction, use: BudgetUse): void {
    // The VMs of a wave share one record. Moves differ, so each has its own.
    const subject = requested.purpose === "maintenance"
      ? `action/${requested.actionId}`
      : `vm/${requested.vm.name}`;
    this.#notices.report({
      key: `${subject} ${requested.vm.pool} ${use.budget.domain}`,
      reason: String(use.budget.maxUnavailableVmCount),
      subjects: [
        subject,
        `pool/${requested.vm.pool}`,
        ...(subject.startsWith("vm/") ? [`action/${requested.actionId}`] : []),
      ],
      summary: `${requested.summary}: waits for the budget of ${
        describeUse(use)
      }`,
      causes: requested.causes,
      figures: {
        unavailableVmCount: use.unavailable.length,
        maxUnavailableVmCount: use.budget.maxUnavailableVmCount,
        vmCount: use.vmCount,
      },
    });
  }

  #reportStoppedAction(requested: RequestedAction, failed: VmView): void {
    this.#notices.report({
      key: `action/${requested.actionId} failure`,
      reason: failed.name,
      subjects: [
        `action/${requested.actionId}`,
        `pool/${failed.pool}`,
        `vm/${failed.name}`,
      ],
      summary:
        `action/${requested.actionId} is stopped: vm/${failed.name} did not come back or failed after it; no further VM is taken`,
      causes: requested.causes,
    });
  }
}
