/** Chooses the wave for which a VM is maintained next. */
import type { WaveRecord } from "../../domain/index.ts";

/** What is known of the order to maintain a VM for a wave. */
export type MaintenanceOutcome = "confirmed" | "refused" | "unknown";

/** Input of {@link chooseMaintenanceTurns}. */
export interface MaintenanceTurnsInput {
  /** The waves that are not complete. */
  readonly waves: readonly WaveRecord[];
  /** Returns what is known of an order that is in the log. */
  readonly findOutcome: (waveId: number, vm: string) => MaintenanceOutcome;
  /** Wall-clock time (ms). */
  readonly nowMs: number;
}

/** The wave for which a VM is maintained. */
export interface MaintenanceTurn {
  readonly waveId: number;
  /** Whether the order of that wave may have taken the VM down. */
  readonly isAway: boolean;
}

/** Order of preference among the waves of a VM. */
const RANKS = { confirmed: 0, unknown: 1, waiting: 2, refused: 3 };

/**
 * Chooses one wave for each VM, so that a VM that several waves name gets one
 * maintenance after the other. A wave whose order may have been carried out keeps
 * the VM. Otherwise the wave with the earliest deadline comes first; waves that
 * are late yield to those that can be in time, and all yield where the platform
 * has refused their order.
 *
 * @param input - The waves, and what is known of their orders.
 * @returns The turn of each VM whose maintenance is not done in every wave.
 */
export function chooseMaintenanceTurns(
  input: MaintenanceTurnsInput,
): ReadonlyMap<string, MaintenanceTurn> {
  const { findOutcome, nowMs, waves } = input;
  const sorted = waves.toSorted((left, right) =>
    Number(left.completeByMs < nowMs) - Number(right.completeByMs < nowMs) ||
    left.completeByMs - right.completeByMs || left.waveId - right.waveId
  );
  const turns = new Map<string, MaintenanceTurn>();
  const ranks = new Map<string, number>();
  for (const { progress, vms, waveId } of sorted) {
    for (const vm of vms) {
      const state = progress[vm];
      if (state === "done") {
        continue;
      }
      const rank = state === undefined
        ? RANKS.waiting
        : RANKS[findOutcome(waveId, vm)];
      if (rank < (ranks.get(vm) ?? Infinity)) {
        ranks.set(vm, rank);
        turns.set(vm, { waveId, isAway: rank < RANKS.waiting });
      }
    }
  }
  return turns;
}

/**
 * Counts the VMs of each wave that may be unavailable, for whichever wave, against
 * its limit.
 */
export class MaintenanceBudget {
  readonly #waves: readonly WaveRecord[];
  readonly #awayVms: Set<string>;

  /**
   * @param waves - The waves that are not complete.
   * @param turns - The turns of their VMs.
   */
  constructor(
    waves: readonly WaveRecord[],
    turns: ReadonlyMap<string, MaintenanceTurn>,
  ) {
    this.#waves = waves;
    this.#awayVms = new Set(
      [...turns].filter(([, { isAway }]) => isAway).map(([vm]) => vm),
    );
  }

  /** Counts the VMs of a wave that may still become unavailable. */
  countLeft({ maxAwayCount, vms }: WaveRecord): number {
    const awayCount = vms.filter((vm) => this.#awayVms.has(vm)).length;
    return Math.max(0, maxAwayCount - awayCount);
  }

  /**
   * Tells whether a VM may become unavailable in each wave that names it.
   *
   * @param vm - The VM.
   * @param ignoredWaveId - A wave whose own limit does not matter.
   */
  allows(vm: string, ignoredWaveId?: number): boolean {
    return this.#waves.every((wave) =>
      wave.waveId === ignoredWaveId || !wave.vms.includes(vm) ||
      this.countLeft(wave) > 0
    );
  }

  /**
   * Chooses VMs that may become unavailable together, and counts them.
   *
   * @param vms - The VMs, the most important first.
   */
  spend(vms: readonly string[]): string[] {
    return vms.filter((vm) => {
      const isAllowed = this.allows(vm);
      if (isAllowed) {
        this.#awayVms.add(vm);
      }
      return isAllowed;
    });
  }
}
