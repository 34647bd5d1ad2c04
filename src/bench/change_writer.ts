/** Changes that a measurement makes, and which of them every entry must keep. */
import { randomUUID } from "node:crypto";
import { SystemClock } from "../adapters/clock/index.ts";
import type { Deployment } from "../stand_ins/index.ts";

const RETRY_INTERVAL_MS = 20;
const REGION = "region-1";

/** A change that was accepted. */
export interface AcceptedChange {
  readonly name: string;
  readonly revision: number;
  readonly sentAtMs: number;
  readonly acceptedAtMs: number;
}

/** Makes changes one after another; each declares a zone with a name of its own. */
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
   * Makes one change, resending the same operation until it is accepted.
   *
   * @param urls - Entries to ask, in turn.
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
   * Counts accepted changes that an entry does not show.
   *
   * @param urls - The entries.
   * @returns Changes missing on at least one of them.
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
