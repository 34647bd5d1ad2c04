/**
 * A stand-in of the platform's load balancer, which picks an entry for each
 * call.
 */
import { request } from "undici";
import { SystemClock } from "../adapters/clock/index.ts";
import type { Random } from "../ports/index.ts";
import { Notifier } from "../tasks/index.ts";

const PROBE_INTERVAL_MS = 250;
const PROBE_TIMEOUT_MS = 1_000;

/** Options of {@link DeploymentBalancer}. */
export interface DeploymentBalancerOptions {
  /** URLs of the entries. */
  readonly urls: readonly string[];
  /** Relative weights of the entries; equal by default. */
  readonly weights?: readonly number[];
  readonly random: Random;
}

/** Picks entries whose `/readyz` responds with 200. */
export class DeploymentBalancer {
  readonly #options: DeploymentBalancerOptions;
  readonly #clock = new SystemClock();
  readonly #stop = new AbortController();
  readonly #ready = new Set<string>();
  readonly #changed = new Notifier();
  #probing: Promise<unknown> = Promise.resolve();

  constructor(options: DeploymentBalancerOptions) {
    this.#options = options;
  }

  /** Starts one task for each entry that probes its readiness. */
  start(): void {
    const tasks = this.#options.urls.map((url) => this.#probeForever(url));
    this.#probing = Promise.all(tasks);
  }

  /** Stops probing. */
  async stop(): Promise<void> {
    this.#stop.abort();
    await this.#probing;
  }

  /** Number of entries that were ready at their last probe. */
  get readyCount(): number {
    return this.#ready.size;
  }

  /**
   * Picks an entry at random, by weight.
   *
   * @returns URL of a ready entry, or of any entry when none is ready.
   */
  chooseUrl(): string {
    const { urls, weights, random } = this.#options;
    const ready = urls.filter((url) => this.#ready.has(url));
    const candidates = ready.length > 0 ? ready : urls;
    const weightOf = (url: string) => weights?.[urls.indexOf(url)] ?? 1;
    const total = candidates.reduce((sum, url) => sum + weightOf(url), 0);
    let remaining = random.nextInt(Math.max(1, total));
    for (const url of candidates) {
      remaining -= weightOf(url);
      if (remaining < 0) {
        return url;
      }
    }
    return candidates[0] ?? "";
  }

  /**
   * Waits until an entry is ready, as the platform does with new connections.
   *
   * @param waitMs - Maximum wait, in milliseconds.
   */
  async waitForReady(waitMs: number): Promise<void> {
    const deadline = AbortSignal.any([
      this.#stop.signal,
      AbortSignal.timeout(waitMs),
    ]);
    while (this.#ready.size === 0 && !deadline.aborted) {
      await this.#changed.wait(deadline);
    }
  }

  async #probeForever(url: string): Promise<void> {
    while (!this.#stop.signal.aborted) {
      if (await this.#probe(url)) {
        this.#ready.add(url);
      } else {
        this.#ready.delete(url);
      }
      this.#changed.notify();
      await this.#clock.sleep(PROBE_INTERVAL_MS, this.#stop.signal);
    }
  }

  async #probe(url: string): Promise<boolean> {
    try {
      const response = await request(`${url}/readyz`, {
        signal: AbortSignal.any([
          this.#stop.signal,
          AbortSignal.timeout(PROBE_TIMEOUT_MS),
        ]),
      });
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      return false;
    }
  }
}
