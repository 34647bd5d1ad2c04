/** Observes the platform and advances VMs through their steps. */
import { Result } from "true-myth";
import { FleetView, type VmView } from "../../decisions/index.ts";
import type { Failure } from "../../domain/index.ts";
import type { PlatformTask, PlatformVm } from "../../ports/index.ts";
import { ActionStarter } from "./action_starter.ts";
import { ReportConfirmation } from "./report_confirmation.ts";
import type { ControllerOptions, Observation } from "./controller_options.ts";
import { NoticeLog } from "./notice_log.ts";
import { PressureRelief } from "./pressure_relief.ts";
import { StepWriter } from "./step_writer.ts";
import { TaskDrainer } from "./task_drainer.ts";
import { VmStepper } from "./vm_stepper.ts";

/** Pause between two rounds while a VM is in a step, in milliseconds. */
export const BUSY_INTERVAL_MS = 1_000;
/** Pause between two rounds while all VMs are serving, in milliseconds. */
export const IDLE_INTERVAL_MS = 5_000;
/** Maximum number of VMs that one round assigns to their first pool. */
const MAX_ADOPTIONS_PER_ROUND = 200;

/**
 * Runs on the leader. All steps are stored in the replicated log, so another
 * controller can continue any of them.
 */
export class Controller {
  readonly #options: ControllerOptions;
  readonly #writer: StepWriter;
  readonly #notices: NoticeLog;
  readonly #stepper: VmStepper;
  readonly #starter: ActionStarter;
  readonly #relief: PressureRelief;
  #platformVms: readonly PlatformVm[] | undefined;
  readonly #outages: ReportConfirmation;
  /** Term of the latest round; undefined while this entry is not the leader. */
  #ledTerm: number | undefined;

  constructor(options: ControllerOptions) {
    this.#options = options;
    this.#outages = new ReportConfirmation(options.clock);
    this.#writer = new StepWriter(options);
    this.#notices = new NoticeLog(options);
    this.#stepper = new VmStepper(options, {
      writer: this.#writer,
      notices: this.#notices,
      drainer: new TaskDrainer(options, this.#notices),
    });
    this.#starter = new ActionStarter(options, this.#writer, this.#notices);
    this.#relief = new PressureRelief(options, options.pressure, this.#notices);
  }

  /**
   * VMs in the latest report of the platform; undefined while this entry is not
   * the leader.
   */
  get platformVms(): readonly PlatformVm[] | undefined {
    return this.#platformVms;
  }

  /**
   * Runs rounds until the signal aborts; they only act on the leader.
   *
   * @param signal - Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const { placementVersion } = this.#options.agreement.state;
      const isBusy = await this.runRound();
      const pauseMs = isBusy ? BUSY_INTERVAL_MS : IDLE_INTERVAL_MS;
      await this.#pause(pauseMs, placementVersion, signal);
    }
  }

  /**
   * Observes the platform, advances the VMs that are in a step and starts
   * requested actions.
   *
   * @returns True when the next round should follow soon, because a VM is in a
   * step or the platform could not be observed.
   */
  async runRound(): Promise<boolean> {
    const { agreement, logger } = this.#options;
    const { leaderSinceMs, term } = agreement.status();
    const isLeader = leaderSinceMs !== undefined;
    if (!isLeader || term !== this.#ledTerm) {
      this.#discardEarlierTerm();
    }
    this.#ledTerm = isLeader ? term : undefined;
    if (!isLeader) {
      this.#platformVms = undefined;
      return false;
    }
    const observation = await this.#observe();
    if (observation.isErr) {
      logger.warn(
        { failure: observation.error },
        "the platform did not report its VMs and tasks; skipping this round",
      );
      return true;
    }
    const { view } = observation.value;
    await this.#adopt(view);
    this.#reportOutages(view);
    // VMs advance concurrently, so that a slow answer for one delays no other.
    await Promise.all(
      view.list().map((vm) => this.#stepper.advance(vm, observation.value)),
    );
    this.#refreshChanged(observation.value);
    await this.#starter.start(observation.value);
    await this.#relief.relieve(observation.value);
    this.#notices.closeUnreported();
    return agreement.state.listAssignments().some(({ phase }) =>
      phase !== "serving"
    );
  }

  // Another controller may have acted since.
  #discardEarlierTerm(): void {
    this.#stepper.discardObservations();
    this.#outages.clear();
    this.#notices.clear();
    this.#relief.discardUnconfirmed();
  }

  // The platform is polled rarely while all VMs are serving. A changed label or
  // selector ends the pause early.
  async #pause(
    pauseMs: number,
    placementVersion: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { agreement, clock } = this.#options;
    const endMs = clock.monotonicMs() + pauseMs;
    do {
      await clock.sleep(BUSY_INTERVAL_MS, signal);
    } while (
      !signal.aborted && clock.monotonicMs() < endMs &&
      agreement.state.placementVersion === placementVersion
    );
  }

  async #observe(): Promise<Result<Observation, Failure>> {
    const { agreement, platform } = this.#options;
    const vms = await platform.listVms();
    if (vms.isErr) {
      return Result.err(vms.error);
    }
    this.#platformVms = vms.value;
    const tasks = await platform.listTasks();
    return tasks.map((listed) => ({
      view: new FleetView(agreement.state, vms.value),
      tasks: listed,
      tasksByVm: groupByVm(listed),
    }));
  }

  // Budgets must count the steps that were written after the observation.
  #refreshChanged({ view }: Observation): void {
    for (const vm of view.list()) {
      const current = this.#options.agreement.state.findAssignment(vm.name);
      if (current !== vm.assignment) {
        view.refresh(vm.name);
      }
    }
  }

  async #adopt(view: FleetView): Promise<void> {
    const unassigned = view.list().filter(({ assignment, pool }) =>
      assignment === undefined && pool !== undefined
    );
    for (const vm of unassigned.slice(0, MAX_ADOPTIONS_PER_ROUND)) {
      await this.#adoptVm(vm);
      view.refresh(vm.name);
    }
  }

  async #adoptVm(vm: VmView): Promise<void> {
    await this.#writer.write({
      vm,
      next: {
        pool: vm.pool ?? "",
        phase: "serving",
        purpose: "adopt",
        actionId: `adopt.${vm.name}`,
        maintainedAtMs: this.#options.clock.nowMs(),
        // Actions declared together with the VM or later still apply to it.
        maintainedRevision: vm.vm.revision - 1,
      },
    });
  }

  #reportOutages(view: FleetView): void {
    for (const vm of view.list()) {
      const isLost = vm.outage === "down" || vm.outage === "missing";
      const report = isLost ? vm.outage : undefined;
      if (this.#outages.confirm(vm.name, report)) {
        this.#reportOutage(vm);
      }
    }
  }

  #reportOutage({ name, pool, outage }: VmView): void {
    const what = outage === "down"
      ? `vm/${name} is not up`
      : `the platform does not list vm/${name}`;
    this.#notices.report({
      key: `vm/${name} outage`,
      reason: outage ?? "",
      action: "ejection",
      subjects: [`vm/${name}`, `pool/${pool}`],
      summary: `${what}; it counts as unavailable in pool/${pool}`,
      causes: [],
    });
  }
}

function groupByVm(
  tasks: readonly PlatformTask[],
): ReadonlyMap<string, readonly PlatformTask[]> {
  const byVm = new Map<string, PlatformTask[]>();
  for (const task of tasks) {
    const known = byVm.get(task.vm) ?? [];
    known.push(task);
    byVm.set(task.vm, known);
  }
  return byVm;
}
