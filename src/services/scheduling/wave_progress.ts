/** Records which VMs of a wave are done. */
import type { WaveRecord } from "../../domain/index.ts";
import type { Clock, ListedVm, Logger } from "../../ports/index.ts";
import type { MaintenanceOrders } from "./maintenance_orders.ts";
import type { SchedulingLog } from "./scheduling_log.ts";
import { VM_GONE_MS } from "./timing.ts";
import type { VmPresence } from "./vm_presence.ts";

/** Options of {@link WaveProgress}. */
export interface WaveProgressOptions {
  readonly log: SchedulingLog;
  readonly orders: MaintenanceOrders;
  readonly presence: VmPresence;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** A list of VMs, completed with what earlier ones have shown. */
export interface CompletedListing {
  readonly byName: ReadonlyMap<string, ListedVm>;
  /** Steady time at which the list was requested (ms). */
  readonly requestedAtMs: number;
}

/** Records in the log which VMs of a wave are done. */
export class WaveProgress {
  readonly #options: WaveProgressOptions;

  constructor(options: WaveProgressOptions) {
    this.#options = options;
  }

  /**
   * Records the VMs that are back from the maintenance for a wave, and those that
   * are gone.
   *
   * @param wave - The wave.
   * @param listing - The newest list of VMs.
   */
  async record(wave: WaveRecord, listing: CompletedListing): Promise<void> {
    const { clock, log, logger, orders } = this.#options;
    const { progress, vms, waveId } = wave;
    const { byName, requestedAtMs } = listing;
    const open = vms.filter((vm) => progress[vm] !== "done");
    const back = open.filter((vm) =>
      progress[vm] === "ordered" && byName.get(vm)?.state === "up" &&
      (orders.findConfirmedAtMs({ waveId, vm }) ?? Infinity) < requestedAtMs
    );
    const gone = open.filter((vm) => this.#isGone(wave, vm, requestedAtMs));
    if (gone.length > 0) {
      logger.warn({ waveId, vms: gone }, "VMs of a wave are no longer listed");
    }
    if (back.length > 0) {
      const fields = back.map((vm) => {
        const begunAtMs = orders.findConfirmedAtMs({ waveId, vm }) ?? 0;
        return { vm, awayMs: Math.round(requestedAtMs - begunAtMs) };
      });
      logger.info({ waveId, vms: fields }, "VMs are back from maintenance");
    }
    const done = [...back, ...gone];
    if (done.length === 0) {
      return;
    }
    const recorded = await log.propose(done.map((vm) => ({
      type: "upkeep",
      waveId,
      vm,
      state: "done",
    })));
    if (recorded.isErr) {
      const failure = recorded.error;
      logger.warn(
        { waveId, failure },
        "failed to record the end of maintenance",
      );
      return;
    }
    done.forEach((vm) => orders.forget({ waveId, vm }));
    if (done.length === open.length) {
      const lateMs = Math.round(clock.nowMs() - wave.completeByMs);
      logger.info({ waveId, lateMs }, "a wave is complete");
    }
  }

  // A VM that is missing may be down and come back, above all from maintenance.
  // One that has not begun is only given up when the wave has no time left, and
  // when the platform has refused its order since it is missing for too long.
  #isGone(
    { completeByMs, waveId }: WaveRecord,
    vm: string,
    requestedAtMs: number,
  ): boolean {
    const { clock, orders, presence } = this.#options;
    const goneSinceMs = presence.findGoneSinceMs(vm, requestedAtMs);
    if (goneSinceMs === undefined) {
      return false;
    }
    const order = { waveId, vm };
    const confirmedAtMs = orders.findConfirmedAtMs(order);
    if (confirmedAtMs !== undefined) {
      return requestedAtMs - confirmedAtMs >= VM_GONE_MS;
    }
    const refusedAtMs = orders.findRefusedAtMs(order) ?? -Infinity;
    return refusedAtMs >= goneSinceMs && clock.nowMs() >= completeByMs;
  }
}
