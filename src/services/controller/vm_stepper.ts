/** Advances one VM through its steps: cordon, drain, reboot, join. */
import {
  ACTION_DURATION_FIGURE,
  findReboot,
  findWantedPool,
  isMaintenanceWanted,
  isOverdue,
  type VmView,
} from "../../decisions/index.ts";
import type { VmAssignment } from "../../domain/index.ts";
import { ReportConfirmation } from "./report_confirmation.ts";
import type { ControllerOptions, Observation } from "./controller_options.ts";
import type { NoticeLog } from "./notice_log.ts";
import type { StepReason, StepWriter } from "./step_writer.ts";
import type { TaskDrainer } from "./task_drainer.ts";

/** Time without effect after which a drain or undrain gets a new id, in ms. */
export const STEP_RETRY_MS = 30_000;

/** Collaborators of a {@link VmStepper}. */
export interface VmStepperParts {
  readonly writer: StepWriter;
  readonly notices: NoticeLog;
  readonly drainer: TaskDrainer;
}

/** A VM that is in a step other than serving. */
interface BusyVm {
  readonly vm: VmView;
  readonly assignment: VmAssignment;
  readonly observation: Observation;
}

/**
 * Advances VMs based on the written steps and on what the platform reports. The
 * answers to its commands are ignored, so any controller can continue the work
 * of another one.
 */
export class VmStepper {
  readonly #options: ControllerOptions;
  readonly #parts: VmStepperParts;
  readonly #confirmation: ReportConfirmation;
  /** Operation ids of reboot steps with an observed reboot, by VM name. */
  readonly #seenRebooting = new Map<string, string>();

  constructor(options: ControllerOptions, parts: VmStepperParts) {
    this.#options = options;
    this.#parts = parts;
    this.#confirmation = new ReportConfirmation(options.clock);
  }

  /** Discards all observations; needed after leadership was lost. */
  discardObservations(): void {
    this.#confirmation.clear();
  }

  /**
   * Advances a VM by at most one step.
   *
   * @param vm - The VM.
   * @param observation - What the platform reported in this round.
   */
  async advance(vm: VmView, observation: Observation): Promise<void> {
    const { assignment } = vm;
    if (assignment === undefined) {
      return;
    }
    const busy: BusyVm = { vm, assignment, observation };
    switch (assignment.phase) {
      case "serving":
        return await this.#undrainIfDrained(busy);
      case "cordoned":
        return await this.#drain(busy);
      case "draining":
        return await this.#reboot(busy);
      case "rebooting":
        return await this.#awaitReturn(busy);
      case "joining":
        return await this.#join(busy);
    }
  }

  // A late or duplicate drain of a cancelled action may reach a serving VM. It
  // stays serving: a wrong report must not take out a VM beyond the budget.
  async #undrainIfDrained(busy: BusyVm): Promise<void> {
    const { vm, assignment } = busy;
    const state = vm.platform?.state;
    const isDrained = state === "draining" || state === "drained";
    const report = isDrained ? assignment.operationId : undefined;
    if (this.#confirmation.confirm(`${vm.name} drained`, report)) {
      await this.#options.platform.undrain(vm.name, assignment.operationId);
    }
    await this.#retryIf(busy, isDrained, "serving");
  }

  async #drain(busy: BusyVm): Promise<void> {
    const { vm, assignment } = busy;
    if (this.#isCancelled(busy)) {
      return await this.#cancel(busy);
    }
    const { operationId } = assignment;
    if (!this.#options.inForce.isInForce(vm.name, operationId)) {
      return;
    }
    await this.#writeNextStep(busy, { phase: "draining" }, {
      action: "drain",
      summary: `vm/${vm.name} drains: its cordon is in force on every entry`,
    });
  }

  async #reboot(busy: BusyVm): Promise<void> {
    const { vm, assignment, observation } = busy;
    if (this.#isCancelled(busy)) {
      return await this.#cancel(busy);
    }
    await this.#options.platform.drain(vm.name, assignment.operationId);
    const maintenance = findReboot(observation.view, vm);
    await this.#parts.drainer.drain(vm, assignment, observation, maintenance);
    if (!this.#isConfirmedIdle(busy)) {
      await this.#retryIf(busy, vm.platform?.state === "up", "draining");
      return;
    }
    const bootCount = vm.platform?.bootCount ?? 0;
    await this.#writeNextStep(busy, {
      phase: "rebooting",
      bootCount,
      maintainedRevision: this.#options.agreement.state.revision,
    }, {
      action: "reboot",
      summary: `vm/${vm.name} reboots: it is drained and nothing runs on it`,
      figures: { bootCount },
    });
  }

  async #awaitReturn(busy: BusyVm): Promise<void> {
    const { vm, assignment, observation } = busy;
    const bootCount = vm.platform?.bootCount ?? 0;
    const state = vm.platform?.state;
    const hasBooted = bootCount > (assignment.bootCount ?? 0) ||
      this.#wasSeenRebooting(busy);
    const isBack = hasBooted && state !== "rebooting" && state !== "down";
    const report = isBack
      ? `${assignment.operationId} ${bootCount}`
      : undefined;
    if (!this.#confirmation.confirm(`${vm.name} back`, report)) {
      await this.#options.platform.reboot(vm.name, assignment.operationId);
      this.#reportIfOverdue(busy);
      // A late undrain may have reached the VM. The platform then refuses to
      // reboot it, so it has to be drained again.
      const mayTakeWork = !isBack && (state === "up" || state === "draining");
      await this.#retryIf(busy, mayTakeWork, "draining");
      return;
    }
    const wanted = findWantedPool(observation.view, vm);
    await this.#writeNextStep(busy, {
      phase: "joining",
      targetPool: wanted.pool,
      maintainedAtMs: this.#options.clock.nowMs(),
    }, {
      action: "join",
      summary: `vm/${vm.name} is back and joins pool/${wanted.pool}`,
      causes: wanted.causes,
      figures: { bootCount },
    });
  }

  // The boot count in the written step may come from a wrong report, so an
  // observed reboot counts as well.
  #wasSeenRebooting({ vm, assignment }: BusyVm): boolean {
    const { operationId } = assignment;
    const isRebooting = vm.platform?.state === "rebooting";
    const report = isRebooting ? operationId : undefined;
    if (this.#confirmation.confirm(`${vm.name} rebooting`, report)) {
      this.#seenRebooting.set(vm.name, operationId);
    }
    return this.#seenRebooting.get(vm.name) === operationId;
  }

  async #join(busy: BusyVm): Promise<void> {
    const { vm, assignment, observation } = busy;
    const isUp = vm.platform?.state === "up";
    const report = isUp ? assignment.operationId : undefined;
    if (!this.#confirmation.confirm(`${vm.name} up`, report)) {
      await this.#options.platform.undrain(vm.name, assignment.operationId);
      this.#reportIfOverdue(busy);
      const state = vm.platform?.state;
      const isStillDrained = state === "draining" || state === "drained";
      await this.#retryIf(busy, isStillDrained, "joining");
      return;
    }
    const pool = assignment.targetPool ?? assignment.pool;
    const home = observation.view.claims.findDesired(vm.vm.resource)?.resource;
    const isLoan = home?.name === assignment.loanedFrom && home?.name !== pool;
    await this.#writeNextStep(busy, {
      phase: "serving",
      pool,
      targetPool: undefined,
      bootCount: undefined,
      loanedFrom: isLoan ? assignment.loanedFrom : undefined,
    }, {
      action: "join",
      summary: `vm/${vm.name} serves in pool/${pool}`,
      figures: this.#measureDuration(assignment),
    });
  }

  // A late command can undo a drain or undrain. Repeating the undone command
  // under its old id has no effect, so a new step gives it a new id. A reboot is
  // never repeated under a new id, because the first one may still arrive.
  async #retryIf(
    busy: BusyVm,
    hasNoEffect: boolean,
    phase: "serving" | "draining" | "joining",
  ): Promise<void> {
    const { vm, assignment } = busy;
    const report = hasNoEffect ? assignment.operationId : undefined;
    const subject = `${vm.name} no effect`;
    if (this.#confirmation.isUnchangedFor(subject, report, STEP_RETRY_MS)) {
      await this.#parts.writer.write({
        vm,
        next: { ...assignment, phase },
        startedAtMs: assignment.startedAtMs,
      });
    }
  }

  #isCancelled({ vm, assignment, observation }: BusyVm): boolean {
    if (assignment.purpose === "maintenance") {
      return !isMaintenanceWanted(observation.view, vm);
    }
    const wanted = findWantedPool(observation.view, vm);
    return wanted.pool === assignment.pool;
  }

  async #cancel(busy: BusyVm): Promise<void> {
    const { vm, assignment, observation } = busy;
    await this.#writeNextStep(
      busy,
      { phase: "joining", targetPool: undefined },
      {
        action: "join",
        summary:
          `action/${assignment.actionId} is no longer asked for; vm/${vm.name} stays in pool/${assignment.pool}`,
        causes: findWantedPool(observation.view, vm).causes,
      },
    );
  }

  #isConfirmedIdle({ vm, assignment, observation }: BusyVm): boolean {
    const { platform } = vm;
    const taskCount = observation.tasksByVm.get(vm.name)?.length ?? 0;
    const runningCount = this.#options.countRunningRequests(vm.name);
    const isIdle = platform?.state === "drained" &&
      platform.runningCount === 0 && taskCount === 0 && runningCount === 0;
    const report = isIdle
      ? `${assignment.operationId} ${platform.bootCount}`
      : undefined;
    return this.#confirmation.confirm(`${vm.name} idle`, report);
  }

  #reportIfOverdue({ vm, assignment }: BusyVm): void {
    if (!isOverdue(vm, this.#options.clock.nowMs())) {
      return;
    }
    this.#parts.notices.report({
      key: `vm/${vm.name} return`,
      reason: assignment.operationId,
      subjects: [
        `vm/${vm.name}`,
        `pool/${assignment.pool}`,
        `action/${assignment.actionId}`,
      ],
      summary:
        `vm/${vm.name} did not come back after its reboot; it counts as unavailable in pool/${assignment.pool}`,
      causes: [],
    });
  }

  // Maintenance forecasts are based on the durations of earlier actions.
  #measureDuration(
    { beganAtMs, bootCount }: VmAssignment,
  ): Record<string, number> {
    return beganAtMs === undefined || bootCount === undefined
      ? {}
      : { [ACTION_DURATION_FIGURE]: this.#options.clock.nowMs() - beganAtMs };
  }

  async #writeNextStep(
    { vm, assignment }: BusyVm,
    changes: Partial<VmAssignment>,
    reason: StepReason,
  ): Promise<void> {
    await this.#parts.writer.write({
      vm,
      next: { ...assignment, ...changes },
      reason,
    });
  }
}
