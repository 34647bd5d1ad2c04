/** Runner client of the leader that spreads its requests over controllers. */
import { Result } from "true-myth";
import { type Failure, hashText, validateWith } from "../../../domain/index.ts";
import type {
  Clock,
  Logger,
  PeerNetwork,
  PollRequest,
  RunName,
  RunnerAnswer,
  RunnerClient,
  RunnerEndpoint,
  RunnerFailure,
  RunnerReport,
  StartRequest,
} from "../../../ports/index.ts";
import type { TaskGroup } from "../../../tasks/index.ts";
import { RelayLink, type UnnumberedRequest } from "./relay_link.ts";
import {
  RELAY_METHODS,
  type RelayedAnswer,
  relayedAnswersSchema,
  unpackReport,
} from "./relay_messages.ts";
import {
  DIRECT_RETRY_MS,
  MAX_DIRECT_RUNNER_COUNT,
  RELAY_ANSWER_MARGIN_MS,
  RELAY_CHECK_MS,
  RELAY_COUNT,
  RELAY_REQUEST_MS,
} from "./relay_timing.ts";

/** Options of {@link RelayedRunnerClient}. */
export interface RelayedRunnerClientOptions {
  /** Sends requests from this process. */
  readonly direct: RunnerClient;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly tasks: TaskGroup;
  /** Names this process in the answers of relays; unique. */
  readonly sessionId: string;
  /** Lists the other controllers that are known to run, which can relay. */
  readonly listRelayIds: () => readonly string[];
  /** Counts the runners of the deployment. */
  readonly countRunners: () => number;
  /**
   * Number of runners up to which the leader sends all requests itself;
   * {@link MAX_DIRECT_RUNNER_COUNT} by default.
   */
  readonly maxDirectRunnerCount?: number;
}

/** Where the requests to one runner go. */
interface Route {
  /** The relay that last sent requests to the runner. */
  relayId: string | undefined;
  /** Monotonic time until which requests go straight to the runner (ms). */
  directUntilMs: number;
}

/**
 * Sends the requests to runners through other controllers where there are many
 * runners: connections and messages of each runner would otherwise take most of
 * the leader's processor time. The leader decides and grants leases as before;
 * a request that a relay holds up is like one that the network holds up.
 */
export class RelayedRunnerClient implements RunnerClient {
  readonly #options: RelayedRunnerClientOptions;
  readonly #links = new Map<string, RelayLink>();
  /** Routes by runner id. */
  readonly #routes = new Map<string, Route>();
  /** The relays in use; each stays in use for as long as it can be used. */
  #relays: readonly RelayLink[] = [];
  /** Monotonic time at which the relays are chosen again (ms). */
  #chooseRelaysAtMs = -Infinity;

  constructor(options: RelayedRunnerClientOptions) {
    this.#options = options;
    options.network.handle(
      RELAY_METHODS.answers,
      (peerId, body) => Promise.resolve(this.#receive(peerId, body)),
    );
  }

  async start(
    runner: RunnerEndpoint,
    request: StartRequest,
  ): Promise<Result<RunnerAnswer, RunnerFailure>> {
    const link = this.#chooseLink(runner);
    return link === undefined
      ? await this.#options.direct.start(runner, request)
      : await this.#relay(runner, link, { kind: "start", runner, request });
  }

  async stop(
    runner: RunnerEndpoint,
    run: RunName,
    fencingToken: number,
  ): Promise<Result<RunnerAnswer, RunnerFailure>> {
    const link = this.#chooseLink(runner);
    const request = { task: run.task, runNumber: run.runNumber };
    return link === undefined
      ? await this.#options.direct.stop(runner, run, fencingToken)
      : await this.#relay(runner, link, {
        kind: "stop",
        runner,
        request,
        fencingToken,
      });
  }

  async pace(
    runner: RunnerEndpoint,
    run: RunName & { readonly percent: number },
    fencingToken: number,
  ): Promise<Result<RunnerAnswer, RunnerFailure>> {
    const link = this.#chooseLink(runner);
    const { task, runNumber, percent } = run;
    return link === undefined
      ? await this.#options.direct.pace(runner, run, fencingToken)
      : await this.#relay(runner, link, {
        kind: "pace",
        runner,
        request: { task, runNumber, percent },
        fencingToken,
      });
  }

  async poll(
    runner: RunnerEndpoint,
    request: PollRequest,
  ): Promise<Result<RunnerReport, RunnerFailure>> {
    const link = this.#chooseLink(runner);
    if (link === undefined) {
      return await this.#options.direct.poll(runner, request);
    }
    const answer = await this.#exchange(
      runner,
      link,
      { kind: "poll", runner, request },
      request.timeoutMs,
    );
    const report = unpackReport(answer);
    return report === undefined
      ? Result.err(answer.failure ?? NO_ANSWER)
      : Result.ok(report);
  }

  disconnect(runner: RunnerEndpoint): void {
    const { relayId } = this.#routes.get(runner.runnerId) ?? {};
    this.#routes.delete(runner.runnerId);
    this.#options.direct.disconnect(runner);
    const link = relayId === undefined ? undefined : this.#links.get(relayId);
    if (link?.isUsable) {
      link.post({ kind: "disconnect", runner: toEndpoint(runner) });
    }
  }

  async #relay(
    runner: RunnerEndpoint,
    link: RelayLink,
    request: UnnumberedRequest,
  ): Promise<Result<RunnerAnswer, RunnerFailure>> {
    const { clockMs, failure } = await this.#exchange(
      runner,
      link,
      request,
      RELAY_REQUEST_MS,
    );
    return clockMs === undefined || failure !== undefined
      ? Result.err(failure ?? NO_ANSWER)
      : Result.ok({ clockMs });
  }

  async #exchange(
    runner: RunnerEndpoint,
    link: RelayLink,
    request: UnnumberedRequest,
    timeoutMs: number,
  ): Promise<Omit<RelayedAnswer, "callId">> {
    const answer = await link.call(
      { ...request, runner: toEndpoint(runner) },
      timeoutMs + RELAY_ANSWER_MARGIN_MS,
    );
    const { failure } = answer ??
      { failure: createRelayLost(link.relayId) };
    const route = this.#routes.get(runner.runnerId);
    if (route !== undefined && this.#mayBeUnreached(answer, failure)) {
      // The relay may be cut off from a runner that this process reaches.
      route.directUntilMs = this.#options.clock.monotonicMs() +
        DIRECT_RETRY_MS;
    }
    return answer ?? { failure };
  }

  // A lost relay shows nothing of its runners. Connections to all of them would
  // cost this process far more than requests through the relays that are left.
  #mayBeUnreached(
    answer: RelayedAnswer | undefined,
    failure: RunnerFailure | undefined,
  ): boolean {
    return answer === undefined
      ? !this.#relays.some(({ isProven }) => isProven)
      : failure !== undefined &&
        (failure.refusal === undefined || failure.refusal === "notListening");
  }

  #chooseLink({ runnerId }: RunnerEndpoint): RelayLink | undefined {
    const {
      clock,
      countRunners,
      maxDirectRunnerCount = MAX_DIRECT_RUNNER_COUNT,
    } = this.#options;
    const route = this.#routes.get(runnerId) ??
      { relayId: undefined, directUntilMs: -Infinity };
    this.#routes.set(runnerId, route);
    const nowMs = clock.monotonicMs();
    const isDirect = nowMs < route.directUntilMs ||
      countRunners() <= maxDirectRunnerCount;
    if (isDirect) {
      return undefined;
    }
    if (nowMs >= this.#chooseRelaysAtMs) {
      this.#chooseRelaysAtMs = nowMs + RELAY_CHECK_MS;
      this.#relays = this.#chooseRelays();
    }
    const relays = this.#relays;
    const kept = relays.find(({ relayId }) => relayId === route.relayId);
    const chosen = kept ?? relays[hashText(runnerId) % relays.length];
    route.relayId = chosen?.relayId ?? route.relayId;
    return chosen;
  }

  // A runner whose relay changes costs a new connection, so a controller that
  // returns takes no place from a relay in use.
  #chooseRelays(): readonly RelayLink[] {
    const usable = this.#options.listRelayIds()
      .map((relayId) => this.#findLink(relayId))
      .filter(({ isUsable }) => isUsable);
    const kept = this.#relays.filter((link) => usable.includes(link));
    const added = usable.filter((link) => !kept.includes(link));
    return [...kept, ...added].slice(0, RELAY_COUNT);
  }

  #findLink(relayId: string): RelayLink {
    const known = this.#links.get(relayId);
    if (known !== undefined) {
      return known;
    }
    const { tasks } = this.#options;
    const link = new RelayLink({
      ...this.#options,
      relayId,
      onLost: () => {
        this.#chooseRelaysAtMs = -Infinity;
      },
    });
    this.#links.set(relayId, link);
    tasks.startForever(`relay ${relayId}`, (signal) => link.run(signal));
    return link;
  }

  #receive(peerId: string, body: unknown): Result<unknown, Failure> {
    return validateWith(relayedAnswersSchema, body, {
      subject: "relayed answers",
    }).map(({ sessionId, answers }) => {
      // Answers to requests of a process that has ended have no receiver.
      if (sessionId === this.#options.sessionId) {
        this.#links.get(peerId)?.receive(answers);
      }
      return {};
    });
  }
}

const NO_ANSWER: RunnerFailure = { message: "the relay returned no answer" };

function createRelayLost(relayId: string): RunnerFailure {
  return { message: `controller ${relayId}: the relay does not respond` };
}

function toEndpoint({ runnerId, address }: RunnerEndpoint): RunnerEndpoint {
  return { runnerId, address };
}
