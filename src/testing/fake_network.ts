/** A network between fake entries with injectable faults. */
import { Result } from "true-myth";
import { createFailure, type Failure } from "../domain/index.ts";
import type {
  Clock,
  PeerCallOptions,
  PeerHandler,
  PeerNetwork,
  Random,
} from "../ports/index.ts";
import { Notifier } from "../tasks/index.ts";

const PERCENT = 100;

/** Faults of the messages from one entry to another. */
export interface LinkFaults {
  /** Whether all messages get lost. */
  readonly cut: boolean;
  /** Minimum one-way delay, in milliseconds. */
  readonly delayMs: number;
  /** Maximum random addition to the delay, in milliseconds. */
  readonly jitterMs: number;
  /** Share of messages that get lost, in percent. */
  readonly lossPercent: number;
  /** Share of requests that are delivered a second time, in percent. */
  readonly duplicatePercent: number;
}

const NO_FAULTS: LinkFaults = {
  cut: false,
  delayMs: 1,
  jitterMs: 0,
  lossPercent: 0,
  duplicatePercent: 0,
};

/** A call that has neither an answer nor a failure yet. */
interface OpenCall {
  readonly from: string;
  readonly to: string;
  readonly fail: () => void;
}

/** Connects fake entries; faults can be set for each direction of a link. */
export class FakeNetwork {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #nodes = new Map<string, FakePeerNetwork>();
  readonly #known = new Set<string>();
  readonly #paused = new Set<string>();
  readonly #resumed = new Notifier();
  readonly #faults = new Map<string, LinkFaults>();
  readonly #openCalls = new Set<OpenCall>();
  #defaults = NO_FAULTS;

  constructor(clock: Clock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  /**
   * Connects an entry; connecting it again replaces it, as after a restart.
   *
   * @param entryId - Id of the entry.
   * @returns The network port of the entry.
   */
  join(entryId: string): PeerNetwork {
    const node = new FakePeerNetwork(entryId, this);
    this.#nodes.set(entryId, node);
    this.#known.add(entryId);
    return node;
  }

  /** Disconnects an entry, as when its process ends. */
  leave(entryId: string): void {
    this.#nodes.delete(entryId);
  }

  /** Sets the faults of links that have no faults of their own. */
  setDefaults(faults: Partial<LinkFaults>): void {
    this.#defaults = { ...NO_FAULTS, ...faults };
  }

  /** Sets the faults of one direction of a link. */
  setFaults(from: string, to: string, faults: Partial<LinkFaults>): void {
    this.#faults.set(`${from} ${to}`, { ...this.#defaults, ...faults });
  }

  /** Makes all messages from and to an entry get lost without an error. */
  isolate(entryId: string): void {
    for (const other of this.#known) {
      this.setFaults(entryId, other, { cut: true });
      this.setFaults(other, entryId, { cut: true });
    }
  }

  /**
   * Delays messages to an entry until `resume`, as when its process is stopped.
   */
  pause(entryId: string): void {
    this.#paused.add(entryId);
  }

  /** Delivers the messages to an entry that `pause` has delayed. */
  resume(entryId: string): void {
    this.#paused.delete(entryId);
    this.#resumed.notify();
  }

  /**
   * Fails the calls that one entry has under way at another one, as when the
   * connection between them is closed.
   */
  reset(from: string, to: string): void {
    for (const call of this.#openCalls) {
      if (call.from === from && call.to === to) {
        call.fail();
      }
    }
  }

  /** Removes the faults of all links; the defaults stay. */
  heal(): void {
    this.#faults.clear();
  }

  /**
   * Transmits one call and its answer; called by the network ports of entries.
   */
  async transmitCall(
    from: FakePeerNetwork,
    to: string,
    method: string,
    body: unknown,
    options: PeerCallOptions,
  ): Promise<Result<unknown, Failure>> {
    const stop = new AbortController();
    const end = () => stop.abort();
    options.signal?.addEventListener("abort", end, { once: true });
    const lost = this.#clock.sleep(options.timeoutMs, stop.signal).then(() =>
      Result.err<unknown, Failure>(
        createFailure("peerUnreachable", `no answer from ${to}`),
      )
    );
    if (options.signal?.aborted) {
      end();
    }
    const open = { from: from.entryId, to, fail: end };
    this.#openCalls.add(open);
    const answer = await Promise.race([
      this.#exchange(from, to, method, body),
      lost,
    ]);
    this.#openCalls.delete(open);
    options.signal?.removeEventListener("abort", end);
    end();
    return answer;
  }

  async #exchange(
    sender: FakePeerNetwork,
    to: string,
    method: string,
    body: unknown,
  ): Promise<Result<unknown, Failure>> {
    const from = sender.entryId;
    // Copies the body, as encoding does, so that entries share no objects.
    const sent = structuredClone(body);
    await this.#requireRunning(sender);
    await this.#transmit(from, to);
    if (this.#draw(this.#find(from, to).duplicatePercent)) {
      void this.#transmit(from, to).then(() =>
        this.#handle(from, to, method, structuredClone(body))
      );
    }
    const answer = await this.#handle(from, to, method, sent);
    const copy = answer.map((value) => structuredClone(value));
    await this.#transmit(to, from);
    await this.#requireRunning(sender);
    return copy;
  }

  async #handle(
    from: string,
    to: string,
    method: string,
    body: unknown,
  ): Promise<Result<unknown, Failure>> {
    const node = this.#nodes.get(to);
    if (node === undefined) {
      return await never();
    }
    const answer = await node.deliver(from, method, body);
    await this.#requireRunning(node);
    return answer;
  }

  // A process that has ended neither sends nor receives, although its tasks may
  // still run for a while.
  async #requireRunning(node: FakePeerNetwork): Promise<void> {
    if (this.#nodes.get(node.entryId) !== node) {
      await never();
    }
  }

  async #transmit(from: string, to: string): Promise<void> {
    const faults = this.#find(from, to);
    const jitterMs = faults.jitterMs === 0
      ? 0
      : this.#random.nextInt(faults.jitterMs + 1);
    await this.#clock.sleep(faults.delayMs + jitterMs);
    while (this.#paused.has(to)) {
      await this.#resumed.wait();
    }
    if (this.#find(from, to).cut || this.#draw(faults.lossPercent)) {
      await never();
    }
  }

  #find(from: string, to: string): LinkFaults {
    return this.#faults.get(`${from} ${to}`) ?? this.#defaults;
  }

  #draw(percent: number): boolean {
    return percent > 0 && this.#random.nextInt(PERCENT) < percent;
  }
}

class FakePeerNetwork implements PeerNetwork {
  readonly entryId: string;
  readonly #network: FakeNetwork;
  readonly #handlers = new Map<string, PeerHandler>();

  constructor(entryId: string, network: FakeNetwork) {
    this.entryId = entryId;
    this.#network = network;
  }

  call(
    peerId: string,
    method: string,
    body: unknown,
    options: PeerCallOptions,
  ): Promise<Result<unknown, Failure>> {
    return this.#network.transmitCall(this, peerId, method, body, options);
  }

  handle(method: string, handler: PeerHandler): void {
    this.#handlers.set(method, handler);
  }

  async deliver(
    from: string,
    method: string,
    body: unknown,
  ): Promise<Result<unknown, Failure>> {
    const handler = this.#handlers.get(method);
    return handler === undefined
      ? Result.err(createFailure("unknownKind", `no handler for ${method}`))
      : await handler(from, body);
  }
}

function never(): Promise<never> {
  return new Promise(() => undefined);
}
