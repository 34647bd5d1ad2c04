import { Result } from "true-myth";
import * as assert from "uvu/assert";
import { createFailure, type Failure } from "../../domain/index.ts";
import type { PeerNetwork } from "../../ports/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLogger } from "../../testing/fake_ports.ts";
import { PausableClock } from "../../testing/pausable_clock.ts";
import { createLeaderAnswer } from "./leader_answer.ts";
import { LeaderClient } from "./leader_client.ts";
import { SCHEDULING_METHODS } from "./scheduling_handlers.ts";
import { LEADER_CALL_MS, LEADER_SEARCH_MS } from "./timing.ts";

const CALL_MS = 2_500;
const MANY_MS = 60_000;
const MANY_COUNT = 100;
/** Time in which a leader answers that has much to do (ms). */
const BUSY_MS = 2 * LEADER_SEARCH_MS;
const ROUND_TRIP_MS = 2;
/** Time at which a call that waits has lost the leader (ms). */
const LOST_AT_MS = 250;
/** Time at which another call shows that the leader answers again (ms). */
const FOUND_AT_MS = 900;
const DONE = createLeaderAnswer(1, Result.ok("done"));

const REFUSED = Result.err<unknown, Failure>(
  createFailure("unknownKind", "refused"),
);

type Reply = (peerId: string) => Result<unknown, Failure>;

function createCaller(reply: Reply, latencyMs = 2) {
  const clock = new FakeClock();
  const called: string[] = [];
  const network: PeerNetwork = {
    call: async (peerId) => {
      called.push(peerId);
      await clock.sleep(latencyMs);
      return reply(peerId);
    },
    handle: () => undefined,
  };
  const controllerIds = ["c1", "c2", "c3"];
  const logger = new FakeLogger();
  const client = new LeaderClient({ network, clock, logger, controllerIds });
  const call = () =>
    clock.runUntil(client.call("method", {}, CALL_MS), MANY_MS);
  return { call, called, client, clock, logger };
}

interface TimedReply {
  readonly afterMs: number;
  readonly reply: Result<unknown, Failure>;
  /** Whether the call goes on after it was aborted. */
  readonly isDeaf?: boolean;
}

/**
 * A client and controllers that answer only the messages that are named, as in
 * `c1 method`, once with each reply.
 */
function createScript(replies: Record<string, readonly TimedReply[]>) {
  const clock = new FakeClock();
  const left = new Map(
    Object.entries(replies).map(([name, list]) => [name, [...list]]),
  );
  const network: PeerNetwork = {
    call: async (peerId, method, _body, { timeoutMs, signal }) => {
      const next = left.get(`${peerId} ${method}`)?.shift();
      const isInTime = next !== undefined && next.afterMs <= timeoutMs;
      await clock.sleep(
        isInTime ? next.afterMs : timeoutMs,
        next?.isDeaf ? undefined : signal,
      );
      return isInTime && (next.isDeaf || !signal?.aborted)
        ? next.reply
        : Result.err(createUnreachable(true));
    },
    handle: () => undefined,
  };
  const logger = new FakeLogger();
  const controllerIds = ["c1", "c2"];
  const client = new LeaderClient({ network, clock, logger, controllerIds });
  return { client, clock, logger };
}

function createUnreachable(isSent: boolean): Failure {
  return createFailure("peerUnreachable", "gone", { detail: { isSent } });
}

describe("calls to the leader", () => {
  it("follow the hint of a controller that does not lead", async () => {
    const { call, client } = createCaller((peerId) =>
      peerId === "c3" ? Result.ok(DONE) : Result.err(
        createFailure("notLeader", "no", { detail: { leaderId: "c3" } }),
      )
    );
    const answered = await call();
    assert.ok(answered.isOk);
    assert.is(client.leaderId, "c3");
  });

  it("reach a leader that only the new settings name", async () => {
    const { call, called, client } = createCaller((peerId) =>
      peerId === "c9" ? Result.ok(DONE) : Result.err(createUnreachable(false))
    );
    assert.not((await call()).isOk);
    client.replaceSeeds(["c9"]);
    // Each call tries one controller once the leader has been lost for long.
    for (let at = 0; at < 4 && client.leaderId !== "c9"; at += 1) {
      await call();
    }
    called.length = 0;
    assert.ok((await call()).isOk);
    assert.equal(called, ["c9"]);
  });

  describe("when a leader of an earlier term answers", () => {
    // Guards against an entry that returns to an older catalog.
    it("go on to the leader of the newest term", async () => {
      const terms = new Map([["c2", 2], ["c3", 1]]);
      const { call, called, client, logger } = createCaller((peerId) => {
        const term = terms.get(peerId);
        return term === undefined
          ? Result.err(createUnreachable(false))
          : Result.ok(createLeaderAnswer(term, Result.ok(`term ${term}`)));
      });
      client.suggestLeader("c2");
      assert.equal((await call()).unwrapOr(undefined), "term 2");
      client.suggestLeader("c3");
      called.length = 0;
      assert.equal((await call()).unwrapOr(undefined), "term 2");
      assert.is(called[0], "c3");
      assert.is(client.leaderId, "c2");
      const [line] = logger.lines;
      assert.is(line?.message, "ignored the answer of an earlier leader");
      assert.is(line?.fields["controllerId"], "c3");
    });

    // Guards against a 503 for a job that the earlier leader may have accepted.
    it("fail with an unknown outcome if no other leader answers", async () => {
      let term = 2;
      const { call } = createCaller((peerId) =>
        peerId === "c2"
          ? Result.ok(createLeaderAnswer(term, Result.ok("done")))
          : Result.err(createUnreachable(false))
      );
      assert.ok((await call()).isOk);
      term = 1;
      const answered = await call();
      assert.is(answered.isErr && answered.error.kind, "noQuorum");
    });
  });

  describe("when the leader is lost before it answers", () => {
    // Guards against a job that runs although its caller was refused: the first
    // leader had accepted it, and the next one no longer knew the key.
    for (const kind of ["unauthenticated", "unknownKind"] as const) {
      it(`fail with an unknown outcome if the next one answers ${kind}`, async () => {
        const refused = Result.err<unknown, Failure>(
          createFailure(kind, "refused"),
        );
        const { call, client } = createCaller((peerId) =>
          peerId === "c2"
            ? Result.err(createUnreachable(true))
            : Result.ok(createLeaderAnswer(2, refused))
        );
        client.suggestLeader("c2");
        const answered = await call();
        assert.is(answered.isErr && answered.error.kind, "noQuorum");
      });
    }

    it("are refused by the next one if they are reads", async () => {
      const { client, clock } = createCaller((peerId) =>
        peerId === "c2"
          ? Result.err(createUnreachable(true))
          : Result.ok(createLeaderAnswer(2, REFUSED))
      );
      client.suggestLeader("c2");
      const called = client.call("method", {}, CALL_MS, { isRead: true });
      const answered = await clock.runUntil(called, MANY_MS);
      assert.is(answered.isErr && answered.error.kind, "unknownKind");
    });
  });

  // Guards against calls that an entry gives up because its wall clock was set.
  it("get their whole time after the wall clock was set ahead", async () => {
    const time = new FakeClock();
    const clock = new PausableClock(time);
    const network: PeerNetwork = {
      call: async () => {
        clock.setAhead(2 * CALL_MS);
        await time.sleep(2);
        return client.leaderId === undefined
          ? Result.err(createUnreachable(false))
          : Result.ok(DONE);
      },
      handle: () => undefined,
    };
    const controllerIds = ["c1"];
    const logger = new FakeLogger();
    const client = new LeaderClient({ network, clock, logger, controllerIds });
    const call = client.call("method", {}, CALL_MS);
    await time.advance(CALL_MS / 10);
    client.suggestLeader("c1");
    assert.ok((await time.runUntil(call, MANY_MS)).isOk);
  });

  // Guards against callers that wait for a search after their time has passed.
  // Guards against a leader with much to do that gets each call several times, as
  // its answers are later than the loss of a leader would be noticed.
  it("are sent once to a leader that answers others, however late", async () => {
    const done = Result.ok(DONE);
    const { client, clock } = createScript({
      "c1 late": [{ afterMs: LEADER_CALL_MS + BUSY_MS, reply: done }],
      "c1 other": Array.from(
        { length: MANY_COUNT },
        () => ({ afterMs: BUSY_MS, reply: done }),
      ),
    });
    client.suggestLeader("c1");
    const late = client.call("late", {}, CALL_MS);
    let isAnswered = false;
    void late.then(() => {
      isAnswered = true;
    });
    while (!isAnswered) {
      await clock.runUntil(client.call("other", {}, CALL_MS), MANY_MS);
    }
    assert.ok((await late).isOk);
    assert.ok(clock.steadyMs() <= LEADER_CALL_MS + 2 * BUSY_MS);
  });

  it("fail when their time has passed while the leader is silent", async () => {
    const clock = new FakeClock();
    const network: PeerNetwork = {
      call: async (_peerId, _method, _body, { timeoutMs }) => {
        await clock.sleep(timeoutMs);
        return Result.err(createUnreachable(true));
      },
      handle: () => undefined,
    };
    const controllerIds = ["c1", "c2"];
    const logger = new FakeLogger();
    const client = new LeaderClient({ network, clock, logger, controllerIds });
    client.suggestLeader("c1");
    const called = client.call("method", {}, LEADER_SEARCH_MS);
    const answered = await clock.runUntil(called, MANY_MS);
    assert.is(answered.isErr && answered.error.kind, "noQuorum");
    assert.is(clock.steadyMs(), LEADER_SEARCH_MS);
  });

  // Guards against a leader that counts as lost because a controller that was
  // asked before it did not answer.
  it("get their whole time although a controller was silent", async () => {
    const clock = new FakeClock();
    let latencyMs = 2;
    let callCount = 0;
    const network: PeerNetwork = {
      call: async (peerId, method, _body, { timeoutMs }) => {
        callCount += Number(method === "method");
        const isInTime = peerId === "c1" && latencyMs <= timeoutMs;
        await clock.sleep(isInTime ? latencyMs : timeoutMs);
        return isInTime ? Result.ok(DONE) : Result.err(createUnreachable(true));
      },
      handle: () => undefined,
    };
    const controllerIds = ["c1", "c2"];
    const logger = new FakeLogger();
    const client = new LeaderClient({ network, clock, logger, controllerIds });
    const call = () =>
      clock.runUntil(client.call("method", {}, CALL_MS), MANY_MS);
    assert.ok((await call()).isOk);
    await clock.advance(LEADER_SEARCH_MS);
    latencyMs = 2 * LEADER_SEARCH_MS;
    assert.ok((await call()).isOk);
    assert.is(callCount, 2);
  });

  describe("that wait for a lost leader", () => {
    const refusal = createLeaderAnswer(1, REFUSED);
    const lost = [
      { afterMs: LOST_AT_MS, reply: Result.err(createUnreachable(true)) },
      { afterMs: ROUND_TRIP_MS, reply: Result.ok(DONE) },
    ];
    for (const [title, answer] of [["answer", DONE], ["refusal", refusal]]) {
      // Guards against calls that wait until their deadline although the leader
      // answers others.
      it(`are sent at its ${title} to another call`, async () => {
        const { client, clock } = createScript({
          "c1 slow": [{ afterMs: FOUND_AT_MS, reply: Result.ok(answer) }],
          "c1 lost": lost,
        });
        client.suggestLeader("c1");
        const waiting = client.call("lost", {}, CALL_MS);
        void client.call("slow", {}, CALL_MS);
        assert.ok((await clock.runUntil(waiting, MANY_MS)).isOk);
        assert.is(clock.steadyMs(), FOUND_AT_MS + ROUND_TRIP_MS);
        // The pings that were under way end without an answer.
        await clock.advance(LEADER_SEARCH_MS);
        assert.is(client.leaderId, "c1");
      });
    }

    // Guards against calls that stay at the earlier leader although the next
    // one answers others.
    it("leave it at an answer of the next one to another call", async () => {
      const next = Result.ok(createLeaderAnswer(2, Result.ok("done")));
      const { client, clock } = createScript({
        "c2 slow": [{ afterMs: FOUND_AT_MS, reply: next }],
        "c2 lost": [{ afterMs: ROUND_TRIP_MS, reply: next }],
        "c2 silent": [{ afterMs: ROUND_TRIP_MS, reply: next }],
        "c1 lost": [
          { afterMs: LOST_AT_MS, reply: Result.err(createUnreachable(true)) },
        ],
      });
      client.suggestLeader("c2");
      void client.call("slow", {}, CALL_MS);
      client.suggestLeader("c1");
      const calls = ["lost", "silent"].map((method) =>
        client.call(method, {}, CALL_MS)
      );
      const answers = await clock.runUntil(Promise.all(calls), MANY_MS);
      assert.ok(answers.every(({ isOk }) => isOk));
      assert.is(clock.steadyMs(), FOUND_AT_MS + ROUND_TRIP_MS);
      assert.is(client.leaderId, "c2");
    });

    // Guards against calls that are sent to the earlier leader once more.
    it("go to the next one from a third controller", async () => {
      const next = Result.ok(createLeaderAnswer(2, Result.ok("next")));
      const { client, clock } = createScript({
        "c2 slow": [{ afterMs: FOUND_AT_MS, reply: next }],
        "c2 silent": [{ afterMs: ROUND_TRIP_MS, reply: next }],
      });
      client.suggestLeader("c2");
      void client.call("slow", {}, CALL_MS);
      client.suggestLeader("c3");
      const called = client.call("silent", {}, CALL_MS);
      client.suggestLeader("c1");
      assert.ok((await clock.runUntil(called, MANY_MS)).isOk);
      assert.is(clock.steadyMs(), FOUND_AT_MS + ROUND_TRIP_MS);
    });

    // Guards against an entry that returns to a leader of an earlier term.
    it("go to the next one if it answers at the same time", async () => {
      const next = Result.ok(createLeaderAnswer(2, Result.ok("next")));
      const { client, clock } = createScript({
        "c1 slow": [{ afterMs: FOUND_AT_MS, reply: Result.ok(DONE) }],
        "c1 lost": lost,
        "c2 slow": [{ afterMs: FOUND_AT_MS, reply: next }],
        "c2 lost": [{ afterMs: ROUND_TRIP_MS, reply: next }],
      });
      client.suggestLeader("c2");
      void client.call("slow", {}, CALL_MS);
      client.suggestLeader("c1");
      const waiting = client.call("lost", {}, CALL_MS);
      void client.call("slow", {}, CALL_MS);
      const answered = await clock.runUntil(waiting, MANY_MS);
      assert.is(answered.unwrapOr(undefined), "next");
      assert.is(client.leaderId, "c2");
    });

    // Guards against an entry that returns to a leader of an earlier term.
    it("stay at the next one when calls to it outlast the earlier one's answer", async () => {
      const next = Result.ok(createLeaderAnswer(2, Result.ok("next")));
      const { client, clock } = createScript({
        "c1 early": [{ afterMs: LOST_AT_MS, reply: Result.ok(DONE) }],
        "c2 slow": [{ afterMs: FOUND_AT_MS, reply: next, isDeaf: true }],
        "c2 silent": [
          { afterMs: LEADER_CALL_MS, reply: next, isDeaf: true },
        ],
      });
      client.suggestLeader("c2");
      void client.call("slow", {}, CALL_MS);
      void client.call("silent", {}, CALL_MS);
      client.suggestLeader("c1");
      void client.call("early", {}, CALL_MS);
      await clock.advance(FOUND_AT_MS);
      assert.is(client.leaderId, "c2");
      await clock.advance(LEADER_CALL_MS);
      assert.is(client.leaderId, "c2");
    });

    // Guards against an entry that takes a leader with much to do for a lost one,
    // and refuses the calls that wait for it.
    it("go to the next one that another controller names, however busy", async () => {
      const detail = { leaderId: "c1", term: 2 };
      const hint = Result.err<unknown, Failure>(
        createFailure("notLeader", "no", { detail }),
      );
      const next = Result.ok(createLeaderAnswer(2, Result.ok("next")));
      const pings = (replies: TimedReply) =>
        Array.from({ length: MANY_COUNT }, () => replies);
      const { client, clock } = createScript({
        "c1 held": [
          { afterMs: LOST_AT_MS, reply: Result.err(createUnreachable(true)) },
          { afterMs: BUSY_MS, reply: next },
        ],
        "c1 scheduling.ping": pings({ afterMs: BUSY_MS, reply: next }),
        "c2 scheduling.ping": pings({ afterMs: ROUND_TRIP_MS, reply: hint }),
      });
      client.suggestLeader("c1");
      const held = client.call("held", {}, CALL_MS);
      const answered = await clock.runUntil(held, MANY_MS);
      assert.is(answered.unwrapOr(undefined), "next");
      assert.is(client.leaderTerm, 2);
    });

    // Guards against a leader that stays lost although it answers, only late.
    for (const afterMs of [BUSY_MS, LEADER_CALL_MS - BUSY_MS / 2]) {
      it(`return to it if others still name it, and it answers after ${afterMs} ms`, async () => {
        const detail = { leaderId: "c1", term: 1 };
        const hint = Result.err<unknown, Failure>(
          createFailure("notLeader", "no", { detail }),
        );
        const late = Array.from(
          { length: MANY_COUNT },
          () => ({ afterMs, reply: Result.ok(DONE) }),
        );
        const { client, clock } = createScript({
          "c1 known": [{ afterMs: ROUND_TRIP_MS, reply: Result.ok(DONE) }],
          "c1 lost": lost,
          "c1 scheduling.ping": late,
          "c2 scheduling.ping": Array.from(
            { length: MANY_COUNT },
            () => ({ afterMs: ROUND_TRIP_MS, reply: hint }),
          ),
        });
        client.suggestLeader("c1");
        await clock.runUntil(client.call("known", {}, CALL_MS), MANY_MS);
        const called = client.call("lost", {}, CALL_MS);
        assert.ok((await clock.runUntil(called, MANY_MS)).isOk);
        assert.is(client.leaderId, "c1");
      });
    }

    describe("are logged if they wait although the next one is known", () => {
      const known = Result.ok(createLeaderAnswer(2, Result.ok("next")));
      const cases = [
        { title: "until they are sent", timeoutMs: CALL_MS, isDeaf: true },
        { title: "until they fail", timeoutMs: FOUND_AT_MS, isDeaf: true },
        { title: "but not otherwise", timeoutMs: CALL_MS, isDeaf: false },
      ];
      for (const { title, timeoutMs, isDeaf } of cases) {
        it(title, async () => {
          const gone = Result.err<unknown, Failure>(createUnreachable(true));
          const { client, clock, logger } = createScript({
            "c1 silent": [{ afterMs: LEADER_CALL_MS, reply: gone, isDeaf }],
            "c1 lost": lost,
            [`c2 ${SCHEDULING_METHODS.ping}`]: [
              { afterMs: ROUND_TRIP_MS, reply: known },
            ],
            "c2 lost": [{ afterMs: ROUND_TRIP_MS, reply: known }],
            "c2 silent": [{ afterMs: ROUND_TRIP_MS, reply: known }],
          });
          client.suggestLeader("c1");
          const calls = [
            client.call("silent", {}, CALL_MS),
            client.call("lost", {}, timeoutMs),
          ];
          await clock.runUntil(Promise.all(calls), MANY_MS);
          const found = logger.lines.filter(({ message }) =>
            message === "calls wait although the leader is known"
          );
          assert.is(found.length > 0, isDeaf);
          assert.ok(
            found.every(({ fields }) =>
              Number(fields["knownMs"]) > LEADER_SEARCH_MS &&
              fields["waitingCount"] === 1
            ),
          );
        });
      }
    });

    it("are not sent to a controller that fails otherwise", async () => {
      const malformed = Result.ok<unknown, Failure>("no answer of a leader");
      const { client, clock } = createScript({
        "c1 slow": [{ afterMs: FOUND_AT_MS, reply: malformed }],
        "c1 lost": lost,
      });
      client.suggestLeader("c1");
      void client.call("lost", {}, CALL_MS);
      const slow = client.call("slow", {}, CALL_MS);
      const failed = await clock.runUntil(slow, MANY_MS);
      assert.is(failed.isErr && failed.error.kind, "internal");
      await clock.advance(ROUND_TRIP_MS);
      assert.is(client.leaderId, undefined);
    });
  });

  // Guards against a leader that counts as lost because a call to the earlier
  // one has failed.
  it("get their whole time after one failed at the earlier leader", async () => {
    const lost = Result.err<unknown, Failure>(createUnreachable(true));
    const { client, clock } = createScript({
      "c1 method": [{ afterMs: LOST_AT_MS, reply: lost }],
      "c2 method": [{ afterMs: 2 * LEADER_SEARCH_MS, reply: Result.ok(DONE) }],
    });
    client.suggestLeader("c1");
    const called = client.call("method", {}, CALL_MS);
    client.suggestLeader("c2");
    assert.ok((await clock.runUntil(called, MANY_MS)).isOk);
    assert.is(clock.steadyMs(), LOST_AT_MS + 2 * LEADER_SEARCH_MS);
  });

  describe("while nobody leads", () => {
    it("fail as not handled when nothing was sent", async () => {
      const { call } = createCaller(() => Result.err(createUnreachable(false)));
      const answered = await call();
      assert.is(answered.isErr && answered.error.kind, "notLeader");
      assert.ok(answered.isErr && answered.error.retryAfterMs);
    });

    it("fail with an unknown outcome when one was sent without an answer", async () => {
      const { call, client } = createCaller(() =>
        Result.err(createUnreachable(true))
      );
      client.suggestLeader("c1");
      const answered = await call();
      assert.is(answered.isErr && answered.error.kind, "noQuorum");
    });

    // Guards against an unknown outcome for a job that no controller has got.
    it("fail as not handled when no controller was known to lead", async () => {
      const { call } = createCaller(() => Result.err(createUnreachable(true)));
      const answered = await call();
      assert.is(answered.isErr && answered.error.kind, "notLeader");
    });

    it("fail at once when the leader was lost long ago", async () => {
      const { call, clock } = createCaller(() =>
        Result.err(createUnreachable(false))
      );
      await call();
      await clock.advance(CALL_MS);
      const startedAtMs = clock.monotonicMs();
      await call();
      assert.ok(clock.monotonicMs() - startedAtMs < 100);
    });

    it("succeed again once a leader answers", async () => {
      let isUp = false;
      const { call, clock } = createCaller(() =>
        isUp ? Result.ok(DONE) : Result.err(createUnreachable(false))
      );
      await call();
      await clock.advance(CALL_MS);
      isUp = true;
      assert.ok((await call()).isOk);
    });
  });
});
