/**
 * Makes configuration changes for a measurement, and checks that no entry loses
 * an accepted one.
 */
import { randomUUID } from "node:crypto";
import { SystemClock } from "../adapters/clock/index.ts";
import type { Deployment } from "../stand_ins/index.ts";

const RETRY_INTERVAL_MS = 20;
const REGION = "region-1";

/** A change that was accepted. */
export interface AcceptedChange {
  /** Name of the zone that the change declares. */
  readonly name: string;
  readonly revision: number;
  /** Monotonic time of the first attempt. */
  readonly sentAtMs: number;
  /** Monotonic time of the answer that accepted the change. */
  readonly acceptedAtMs: number;
}

/** Makes one change at a time. Each declares a zone with a unique name. */
export class ChangeWriter {
  readonly accepted: AcceptedChange[] = [];
  readonly #deployment: Deployment;
  readonly #clock = new SystemClock();
  #revision = 0;
  #nextNumber = 1;

  constructor(deployment: Deployment) {
    this.#deployment = deployment;
  }

  /**
   * Makes one change. Retries with the same operation id until it is accepted.
   *
   * @param urls - URLs of the entries to try, in turn.
   * @returns The accepted change.
   */
  async makeChange(urls: readonly string[]): Promise<AcceptedChange> {
    const name = `change-${this.#nextNumber}`;
    this.#nextNumber += 1;
    const operationId = randomUUID();
    const sentAtMs = this.#clock.monotonicMs();
    for (let attempt = 0;; attempt += 1) {
      const url = urls[attempt % urls.length] ?? "";
      const revision = await this.#send(url, name, operationId);
      if (revision !== undefined) {
        const acceptedAtMs = this.#clock.monotonicMs();
        const change = { name, revision, sentAtMs, acceptedAtMs };
        this.accepted.push(change);
        return change;
      }
      await this.#clock.sleep(RETRY_INTERVAL_MS);
    }
  }

  /**
   * Counts the accepted changes that are missing on at least one entry.
   *
   * @param urls - URLs of the entries.
   * @returns The number of lost changes.
   */
  async countLost(urls: readonly string[]): Promise<number> {
    const { operator } = this.#deployment;
    const shown = await Promise.all(
      urls.map((url) => operator.listNames("zone", url)),
    );
    return this.accepted.filter(({ name }) =>
      shown.some((names) => !names.has(name))
    ).length;
  }

  async #send(
    url: string,
    name: string,
    operationId: string,
  ): Promise<number | undefined> {
    const { operator } = this.#deployment;
    const result = await operator.tryChange(url, {
      operationId,
      expectedRevision: this.#revision,
      puts: [{ kind: "zone", name, region: REGION, labels: {} }],
      deletes: [],
    });
    if (result.isOk) {
      this.#revision = result.value;
      return result.value;
    }
    if (result.error.kind === "conflict") {
      const status = await operator.readStatus(url);
      this.#revision = status.isOk ? status.value.revision : this.#revision;
    }
    return undefined;
  }
}
