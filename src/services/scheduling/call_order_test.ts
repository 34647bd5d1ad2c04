import { Result } from "true-myth";
import * as assert from "uvu/assert";
import { SeededRandom } from "../../adapters/random/index.ts";
import {
  createFailure,
  type Failure,
  type JobRecord,
} from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeAgreement } from "../../testing/fake_agreement.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeNetwork } from "../../testing/fake_network.ts";
import { FakeLogger } from "../../testing/fake_ports.ts";
import { ControllerLeaderClient } from "./controller_leader_client.ts";
import { JobCallForwarder } from "./job_call_forwarder.ts";
import type { JobCall, JobCallAnswer } from "./job_call.ts";
import { JobService } from "./job_service.ts";
import { createLeaderAnswer } from "./leader_answer.ts";
import { LeaderClient } from "./leader_client.ts";
import { SCHEDULING_METHODS } from "./scheduling_handlers.ts";
import { SchedulingLog } from "./scheduling_log.ts";
import { LEADER_CALL_MS, LEADER_SEARCH_MS } from "./timing.ts";

const SEED = 1;
const CALL_MS = 2_500;
const MANY_MS = 60_000;
/** Time between two calls: more than entries may answer out of order (ms). */
const APART_MS = 400;
const ROUND_TRIP_MS = 2;
/** Time in which calls are answered by a leader that works (ms). */
const ANSWERED_MS = 20;
const JOB_PATH = "/old/0123456789abcdef";
const WORK = {
  text: "build",
  steps: [{ taskCount: 1, needs: { cpuMillicores: 100 } }],
} as JobCall["work"];

/** A process that calls the leader. */
type Caller = "entry" | "controller";

type Answered = Result<JobCallAnswer, Failure>;

/** A process that calls the leader, and controllers that lead one after the other over one log. */
class CallSite {
  readonly clock = new FakeClock();
  /** Names of the calls, in the order of their answers. */
  readonly answeredNames: string[] = [];
  /** Names of the calls that each controller has handled, in order. */
  readonly handledNames: string[] = [];
  readonly #network = new FakeNetwork(this.clock, new SeededRandom(SEED));
  readonly #log = new SchedulingLog({
    agreement: new FakeAgreement(this.clock),
    clock: this.clock,
  });
  readonly #forwarder: JobCallForwarder;
  #leaderId = "c1";
  #term = 1;

  constructor(caller: Caller) {
    const { clock } = this;
    const logger = new FakeLogger();
    const controllerIds = ["c1", "c2"];
    controllerIds.forEach((id) => this.#startController(id));
    const leader = new LeaderClient({
      network: this.#network.join("entry"),
      clock,
      logger,
      controllerIds,
    });
    leader.suggestLeader(this.#leaderId);
    const agreement = new FakeAgreement(clock);
    agreement.holdsLease = false;
    const handlers = new Map();
    const client = caller === "entry"
      ? leader
      : new ControllerLeaderClient({ agreement, leader, handlers });
    const metrics = {
      recordCall: () => undefined,
      recordWait: () => undefined,
      recordRun: () => undefined,
      recordJob: () => undefined,
      countPunctuality: () => undefined,
    };
    this.#forwarder = new JobCallForwarder({
      leader: client,
      clock,
      logger,
      metrics,
    });
  }

  /** Replaces the catalog by one with the queues that are named. */
  async putCatalog(version: number, names: readonly string[]): Promise<void> {
    const queues = names.map((name) => ({
      name,
      host: "h",
      pathPrefix: `/${name}/`,
      pool: "bay",
      isPublic: true,
      priority: 0,
      maxAttempts: 2,
      timeoutMs: 3_000,
      stretch: 1,
      targetLatencyMs: 0,
    }));
    const pools = [{ name: "bay", isStandby: false, guardsCapacity: false }];
    const catalog = { version, queues, pools, teams: [], source: "" };
    const proposed = this.#log.propose([{ type: "catalog", catalog }]);
    await this.clock.runUntil(proposed, MANY_MS);
  }

  /** The job of {@link JOB_PATH}; undefined before it is accepted. */
  get job(): JobRecord | undefined {
    return this.#log.state.jobs.find(JOB_PATH.slice("/old/".length));
  }

  /** Loses all messages of the leader. */
  silenceLeader(): void {
    this.#network.isolate(this.#leaderId);
  }

  /** Loses no more messages of the leader. */
  heal(): void {
    this.#network.heal();
  }

  /** Delays all messages to the leader until it goes on. */
  freezeLeader(): void {
    this.#network.pause(this.#leaderId);
  }

  /** Makes the leader go on. */
  resumeLeader(): void {
    this.#network.resume(this.#leaderId);
  }

  /** Makes another controller lead the next term. */
  elect(controllerId: string): void {
    this.#leaderId = controllerId;
    this.#term += 1;
  }

  /** Counts the waiting jobs of a queue through the process. */
  count(name: string, queue = "old"): Promise<Answered> {
    return this.#call(name, { action: "read", path: `/${queue}/` });
  }

  /** Submits, reads or cancels a job through the process. */
  handleJob(name: string, action: JobCall["action"]): Promise<Answered> {
    return this.#call(name, { action, path: JOB_PATH, work: WORK });
  }

  async #call(
    name: string,
    call: Pick<JobCall, "action" | "path" | "work">,
  ): Promise<Answered> {
    const answered = await this.#forwarder.forward(
      { ...call, host: "h", requestId: name },
      CALL_MS,
    );
    this.answeredNames.push(name);
    return answered;
  }

  #startController(controllerId: string): void {
    const jobs = new JobService({ log: this.#log, logger: new FakeLogger() });
    const port = this.#network.join(controllerId);
    const answer = async (handle: () => Promise<Result<unknown, Failure>>) =>
      this.#leaderId === controllerId
        ? Result.ok<unknown, Failure>(
          createLeaderAnswer(this.#term, await handle()),
        )
        : Result.err<unknown, Failure>(createFailure("notLeader", "no"));
    // Calls that are under way are answered before pings that are.
    port.handle(SCHEDULING_METHODS.ping, () =>
      answer(async () => {
        await this.clock.sleep(ROUND_TRIP_MS);
        return Result.ok({});
      }));
    port.handle(SCHEDULING_METHODS.job, (_peerId, body) =>
      answer(() => {
        this.handledNames.push((body as { requestId: string }).requestId);
        return jobs.answer(body);
      }));
  }
}

describe("calls of one entry", () => {
  describe("when the leader falls silent", () => {
    // Guards against an entry that returns to an older catalog: a call that
    // waits for the lost leader shows a change that a later one did not.
    it("show no older catalog than those sent before", async () => {
      const site = await createSite();
      const { clock } = site;
      site.silenceLeader();
      void site.count("earlier");
      await clock.advance(APART_MS);
      const first = site.count("first", "new");
      site.elect("c2");
      await clock.advance(LEADER_CALL_MS - APART_MS / 2);
      const second = await clock.runUntil(site.count("second", "new"), MANY_MS);
      assert.is(second.isErr && second.error.kind, "unknownKind");
      await site.putCatalog(2, ["old", "new"]);
      const shown = await clock.runUntil(first, MANY_MS);
      assert.is(shown.isErr && shown.error.kind, "unknownKind");
      assert.equal(site.answeredNames, ["earlier", "first", "second"]);
    });

    // Guards against a job that looks new to the next leader although its caller
    // has waited for the whole election.
    it("tell the next leader how long they have waited", async () => {
      const site = await createSite();
      const { clock } = site;
      site.silenceLeader();
      const sentAtMs = clock.nowMs();
      const submitted = site.handleJob("a", "submit");
      await clock.advance(APART_MS);
      site.elect("c2");
      await clock.runUntil(submitted, MANY_MS);
      const { acceptedAtMs = 0, requestedAtMs = 0 } = site.job ?? {};
      assert.ok(acceptedAtMs - sentAtMs >= LEADER_CALL_MS);
      assert.ok(Math.abs(requestedAtMs - sentAtMs) <= ANSWERED_MS);
    });

    it("reach the next leader in the order in which they were sent", async () => {
      const site = await createSite();
      const { clock } = site;
      site.silenceLeader();
      const calls = [];
      for (const name of ["a", "b", "c", "d"]) {
        calls.push(site.count(name));
        await clock.advance(APART_MS);
      }
      site.elect("c2");
      await clock.runUntil(Promise.all(calls), MANY_MS);
      assert.equal(site.handledNames, ["a", "b", "c", "d"]);
    });

    it("leave the silent leader before those that wait are sent", async () => {
      const site = await createSite();
      const { clock } = site;
      site.silenceLeader();
      const calls = [site.count("a")];
      await clock.advance(APART_MS);
      calls.push(site.count("b"));
      site.elect("c2");
      await clock.advance(LEADER_CALL_MS - APART_MS + 1);
      // The call b is under way at the silent leader, and the search has begun.
      calls.push(site.count("c"));
      assert.equal(site.handledNames, []);
      await clock.runUntil(Promise.all(calls), MANY_MS);
      assert.equal(site.handledNames, ["a", "b", "c"]);
    });
  });

  describe("when the leader is frozen and goes on", () => {
    for (const caller of ["entry", "controller"] as const) {
      for (const action of ["read", "submit", "cancel"] as const) {
        // Guards against calls that wait until their deadline although the
        // leader answers others.
        it(`are sent once it answers one: ${action} of the ${caller}`, async () => {
          const site = await createSite(caller);
          const { clock } = site;
          if (action !== "submit") {
            await clock.runUntil(site.handleJob("job", "submit"), MANY_MS);
          }
          site.handledNames.length = 0;
          site.silenceLeader();
          const calls = [site.count("lost")];
          await clock.advance(APART_MS);
          site.heal();
          site.freezeLeader();
          calls.push(site.count("slow"));
          // The leader counts as lost from here on, and is searched for.
          await clock.advance(LEADER_CALL_MS - APART_MS + 1);
          calls.push(site.handleJob("waiting", action));
          await clock.advance(LEADER_SEARCH_MS);
          site.resumeLeader();
          const answers = await clock.runUntil(Promise.all(calls), ANSWERED_MS);
          assert.ok(answers.every(({ isOk }) => isOk));
          assert.equal(site.handledNames, ["slow", "lost", "waiting"]);
        });
      }
    }
  });

  it("go to the leader without a search while it answers", async () => {
    const site = await createSite();
    const { clock } = site;
    const startedMs = clock.monotonicMs();
    await clock.runUntil(site.count("a"), MANY_MS);
    assert.is(clock.monotonicMs() - startedMs, ROUND_TRIP_MS);
  });
});

async function createSite(caller: Caller = "entry"): Promise<CallSite> {
  const site = new CallSite(caller);
  await site.putCatalog(1, ["old"]);
  return site;
}
