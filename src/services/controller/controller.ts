/** The controller: observes the platform and takes VMs through their steps. */
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

/** Pause between two looks while a VM is in a step, in milliseconds. */
export const BUSY_INTERVAL_MS = 1_000;
/** Pause between two looks while nothing is under way, in milliseconds. */
export const IDLE_INTERVAL_MS = 5_000;
/** VMs that one round gives their first pool at the most. */
const MAX_ADOPTIONS_PER_ROUND = 200;

/** Runs on the leader; every step can be taken over by another controller. */
export class Controller {
  readonly #options: ControllerOptions;
  readonly #writer: StepWriter;
  readonly #notices: NoticeLog;
  readonly #stepper: VmStepper;
  readonly #starter: ActionStarter;
  readonly #relief: PressureRelief;
  #platformVms: readonly PlatformVm[] | undefined;
  readonly #outages: ReportConfirmation;

  constructor(options: ControllerOptions) {
    this.#options = options;
    this.#outages = new ReportConfirmation(options.clock);
    this.#writer = new StepWriter(options);
    this.#notices = new NoticeLog(options.recorder, options.agreement);
    this.#stepper = new VmStepper(options, {
      writer: this.#writer,
      notices: this.#notices,
      drainer: new TaskDrainer(options, this.#notices),
    });
    this.#starter = new ActionStarter(options, this.#writer, this.#notices);
    this.#relief = new PressureRelief(options, options.pressure, this.#notices);
  }

  /** The platform's last report; undefined while this entry does not lead. */
  get platformVms(): readonly PlatformVm[] | undefined {
    return this.#platformVms;
  }

  /**
   * Works while this entry is the leader, until the signal aborts.
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
   * Observes, advances the VMs in a step, and starts what is wanted.
   *
   * @returns True while a VM is in a step, so that the next look should be soon.
   */
  async runRound(): Promise<boolean> {
    const { agreement, logger } = this.#options;
    if (agreement.status().leaderSinceMs === undefined) {
      this.#stepper.forget();
      this.#platformVms = undefined;
      return false;
    }
    const observation = await this.#observe();
    if (observation.isErr) {
      logger.warn(
        { failure: observation.error },
        "the platform could not be observed; nothing is done without it",
      );
      return true;
    }
    const { view } = observation.value;
    await this.#adopt(view);
    this.#reportOutages(view);
    // Each VM has a step of its own, so a slow answer for one delays no other.
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

  // The platform is asked seldom while nothing happens, but a changed label or
  // selector is acted on soon.
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

  // Steps may have been written since the look; budgets must count them.
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
        // Actions declared with the VM or later still have to reach it.
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
