/** What a leader knows of its orders to maintain VMs. */

import type { MaintenanceOutcome } from "../../decisions/index.ts";

/** Names the order to maintain a VM for a wave. */
export interface MaintenanceOrder {
  readonly waveId: number;
  readonly vm: string;
}

/**
 * Remembers each order by wave and VM: the order of one wave says nothing about
 * that of another one for the same VM.
 */
export class MaintenanceOrders {
  readonly #confirmedAtMs = new Map<string, number>();
  readonly #refusedAtMs = new Map<string, number>();
  readonly #unsent = new Set<string>();

  /** Records that this leader has logged an order and not sent it yet. */
  recordLogged(order: MaintenanceOrder): void {
    this.#unsent.add(formatOrder(order));
  }

  /**
   * Records that an order is sent.
   *
   * @param order - The order.
   * @returns Whether nobody can have sent it before.
   */
  recordSent(order: MaintenanceOrder): boolean {
    const key = formatOrder(order);
    this.#refusedAtMs.delete(key);
    return this.#unsent.delete(key);
  }

  /**
   * Records that the platform has refused an order, which it will not carry out.
   *
   * @param order - The order.
   * @param atMs - Steady time of the answer (ms).
   */
  recordRefused(order: MaintenanceOrder, atMs: number): void {
    this.#refusedAtMs.set(formatOrder(order), atMs);
  }

  /**
   * Records that the platform has confirmed an order.
   *
   * @param order - The order.
   * @param atMs - Steady time of the answer (ms).
   */
  recordConfirmed(order: MaintenanceOrder, atMs: number): void {
    this.#confirmedAtMs.set(formatOrder(order), atMs);
  }

  /**
   * Returns when an order was confirmed in this term.
   *
   * @param order - The order.
   * @returns Steady time (ms), or undefined.
   */
  findConfirmedAtMs(order: MaintenanceOrder): number | undefined {
    return this.#confirmedAtMs.get(formatOrder(order));
  }

  /** Returns what is known of an order that is in the log. */
  findOutcome(order: MaintenanceOrder): MaintenanceOutcome {
    const key = formatOrder(order);
    if (this.#confirmedAtMs.has(key)) {
      return "confirmed";
    }
    return this.#refusedAtMs.has(key) ? "refused" : "unknown";
  }

  /**
   * Returns when an order was refused, if it has not been sent since.
   *
   * @param order - The order.
   * @returns Steady time (ms), or undefined.
   */
  findRefusedAtMs(order: MaintenanceOrder): number | undefined {
    return this.#refusedAtMs.get(formatOrder(order));
  }

  /** Forgets an order whose maintenance is done. */
  forget(order: MaintenanceOrder): void {
    const key = formatOrder(order);
    this.#confirmedAtMs.delete(key);
    this.#refusedAtMs.delete(key);
    this.#unsent.delete(key);
  }
}

function formatOrder({ vm, waveId }: MaintenanceOrder): string {
  return `${waveId}/${vm}`;
}
