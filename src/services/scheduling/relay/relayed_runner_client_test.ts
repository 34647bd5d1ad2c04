import { Result } from "true-myth";
import * as assert from "uvu/assert";
import * as v from "valibot";
import { SeededRandom } from "../../../adapters/random/index.ts";
import type { Runner } from "../../../domain/index.ts";
import type { PeerNetwork } from "../../../ports/index.ts";
import { TaskGroup } from "../../../tasks/index.ts";
import { describe, it } from "../../../testing/describe.ts";
import { FakeClock } from "../../../testing/fake_clock.ts";
import { FakeNetwork } from "../../../testing/fake_network.ts";
import { FakeLogger } from "../../../testing/fake_ports.ts";
import { FakeRunners } from "../../../testing/fake_runners.ts";
import {
  MAX_DIRECT_RUNNER_COUNT,
  RELAY_CHECK_MS,
  RELAY_CONFIRM_MS,
} from "./relay_timing.ts";
import { RELAY_METHODS, relayedAnswersSchema } from "./relay_messages.ts";
import { RelayedRunnerClient } from "./relayed_runner_client.ts";
import { RunnerRelay } from "./runner_relay.ts";

const SEED = 20_430;
const RELAY_IDS = ["relay-a", "relay-b", "relay-c", "relay-d"];
const WORK_MS = 100;
const JOB_ID = "0000000000000001";
const POLL = { fencingToken: 1, ackPosition: 0, waitMs: 0, timeoutMs: 700 };

function createRunner(index: number): Runner {
  return {
    runnerId: `i-${index}`,
    bornAtMs: 1,
    address: `10.0.0.${index}:80`,
    pool: "bay",
    zone: "zone-a",
    capacity: { cpuMillicores: 8_000, memoryMb: 1_000, gpuCount: 0 },
    rack: "r1",
    labels: [],
    isDraining: false,
  };
}

function createStart(index: number) {
  return {
    task: { jobId: JOB_ID, occurrence: 0, step: 0, index },
    runNumber: 1,
    text: "",
    leaseUntilMs: 5_000,
    fencingToken: 1,
    saved: "",
  };
}

function setUp(runnerCount: number) {
  const clock = new FakeClock();
  const random = new SeededRandom(SEED);
  const logger = new FakeLogger();
  const tasks = new TaskGroup({ clock, logger });
  const network = new FakeNetwork(clock, random);
  const findWork = () => ({ workMs: WORK_MS, millicores: 500 });
  const createRunners = () => new FakeRunners({ clock, random, findWork });
  const reached = createRunners();
  const runners = Array.from(
    { length: runnerCount },
    (_, at) => createRunner(at),
  );
  runners.forEach((runner) => reached.startIncarnation(runner));
  let directCount = 0;
  const direct = createRunners();
  const sendDirect = async () => {
    directCount += 1;
    await clock.sleep(1);
  };
  direct.start = async (...request) => {
    await sendDirect();
    return await reached.start(...request);
  };
  direct.poll = async (...request) => {
    await sendDirect();
    return await reached.poll(...request);
  };
  let messageCount = 0;
  let listCount = 0;
  /** Relays that have polled a runner, by runner id. */
  const relayIdsByRunner = new Map<string, Set<string>>();
  let lateMs = 0;
  let relayIds = RELAY_IDS;
  const leaderNetwork = network.join("leader");
  const countingNetwork: PeerNetwork = {
    call: (...call) => {
      messageCount += 1;
      return leaderNetwork.call(...call);
    },
    handle: (...handler) => leaderNetwork.handle(...handler),
  };
  for (const relayId of RELAY_IDS) {
    const relayed = createRunners();
    relayed.start = (...request) => reached.start(...request);
    relayed.poll = (runner, ...request) => {
      const { runnerId } = runner;
      const relayIds = relayIdsByRunner.get(runnerId) ?? new Set();
      relayIdsByRunner.set(runnerId, relayIds.add(relayId));
      return reached.poll(runner, ...request);
    };
    new RunnerRelay({
      network: network.join(relayId),
      client: relayed,
      clock,
      eventLoop: { findLongestDelayMs: () => lateMs },
      logger,
      tasks,
    });
  }
  const client = new RelayedRunnerClient({
    direct,
    network: countingNetwork,
    clock,
    logger,
    tasks,
    sessionId: "session",
    listRelayIds: () => {
      listCount += 1;
      return relayIds;
    },
    countRunners: () => runnerCount,
  });
  return {
    client,
    clock,
    network,
    reached,
    runners,
    tasks,
    countDirect: () => directCount,
    countMessages: () => messageCount,
    countLists: () => listCount,
    relayIdsByRunner,
    setRelayIds: (ids: string[]) => {
      relayIds = ids;
    },
    setLate: (durationMs: number) => {
      lateMs = durationMs;
    },
  };
}

const MANY = MAX_DIRECT_RUNNER_COUNT + 100;

describe("requests to many runners at once", () => {
  // Guards against a leader that spends its processor time on a connection and
  // a message for each request while other controllers idle.
  it("go through relays in a few messages", async () => {
    const { client, clock, countDirect, countMessages, runners, tasks } = setUp(
      MANY,
    );
    const started = runners.map((runner, at) =>
      client.start(runner, createStart(at))
    );
    const answers = await clock.runUntil(Promise.all(started), 1_000);
    assert.ok(answers.every(({ isOk }) => isOk));
    assert.is(countDirect(), 0);
    assert.ok(countMessages() <= 6, `${countMessages()} messages`);
    void tasks.stop();
  });

  it("return what the runners report", async () => {
    const { client, clock, reached, runners, tasks } = setUp(MANY);
    const runner = runners[0] ?? createRunner(0);
    await clock.runUntil(client.start(runner, createStart(0)), 1_000);
    const polled = await clock.runUntil(client.poll(runner, POLL), 1_000);
    const expected = await clock.runUntil(reached.poll(runner, POLL), 1_000);
    assert.ok(polled.isOk && expected.isOk);
    const [run] = polled.value.running;
    assert.equal(run?.task, createStart(0).task);
    assert.is(polled.value.bornAtMs, 1);
    await clock.advance(WORK_MS);
    const over = await clock.runUntil(client.poll(runner, POLL), 1_000);
    assert.ok(over.isOk);
    assert.equal(over.value.ended.map(({ how }) => how), ["done"]);
    void tasks.stop();
  });

  it("return the refusals of the runners", async () => {
    const { client, clock, runners, tasks } = setUp(MANY);
    const runner = runners[0] ?? createRunner(0);
    await clock.runUntil(
      client.start(runner, { ...createStart(0), fencingToken: 9 }),
      1_000,
    );
    const polled = await clock.runUntil(client.poll(runner, POLL), 1_000);
    assert.is(polled.isErr && polled.error.refusal, "staleFence");
    void tasks.stop();
  });

  // Guards against a task that runs twice at once: the leader could not tell that
  // a start through a relay may have reached the next incarnation of a runner.
  it("tell whether only the process that had answered can have received them", async () => {
    const { client, clock, reached, runners, tasks } = setUp(MANY);
    const runner = runners[0] ?? createRunner(0);
    const startWithoutAnswer = async (at: number) => {
      reached.lostPercent = 100;
      const started = await clock.runUntil(
        client.start(runner, createStart(at)),
        2_000,
      );
      reached.lostPercent = 0;
      return started.isErr && started.error.isSameProcess;
    };
    await clock.runUntil(client.poll(runner, POLL), 1_000);
    assert.is(await startWithoutAnswer(0), true);
    reached.startIncarnation({ ...runner, bornAtMs: 2 });
    assert.is(await startWithoutAnswer(1), false);
    void tasks.stop();
  });
});

describe("a relay that does not respond", () => {
  it("leaves the outcome of a start open, and others take over", async () => {
    const { client, clock, network, runners, tasks } = setUp(MANY);
    RELAY_IDS.slice(0, 3).forEach((relayId) => network.isolate(relayId));
    network.setFaults("leader", "relay-d", {});
    network.setFaults("relay-d", "leader", {});
    const runner = runners[0] ?? createRunner(0);
    const started = await clock.runUntil(
      client.start(runner, createStart(0)),
      RELAY_CONFIRM_MS + 50,
    );
    assert.ok(started.isErr);
    assert.is(started.error.refusal, undefined);
    const polled = await clock.runUntil(client.poll(runner, POLL), 1_000);
    assert.ok(polled.isOk, "the runner is reached without the relay");
    void tasks.stop();
  });
});

describe("a controller that returns", () => {
  // Guards against connections that are all opened anew at once: a third of the
  // runners changed their relay when a controller with a lower id was back.
  it("takes over no runners from the relays in use", async () => {
    const { client, clock, relayIdsByRunner, runners, setRelayIds, tasks } =
      setUp(MANY);
    const pollAll = () =>
      clock.runUntil(
        Promise.all(runners.map((runner) => client.poll(runner, POLL))),
        2_000,
      );
    setRelayIds(RELAY_IDS.slice(1));
    await pollAll();
    setRelayIds(RELAY_IDS);
    await clock.advance(2 * RELAY_CHECK_MS);
    await pollAll();
    const counts = [...relayIdsByRunner.values()].map(({ size }) => size);
    assert.is(counts.length, MANY);
    assert.is(Math.max(...counts), 1, "a runner has changed its relay");
    void tasks.stop();
  });
});

describe("the choice of relays", () => {
  // Guards against a busy leader that sorts all controllers for each request.
  it("is made once for many requests", async () => {
    const { client, clock, countLists, runners, tasks } = setUp(MANY);
    await clock.runUntil(
      Promise.all(runners.map((runner) => client.poll(runner, POLL))),
      2_000,
    );
    assert.is(countLists(), 1);
    void tasks.stop();
  });
});

describe("a relay that is lost with many requests", () => {
  // Guards against a leader that opens a connection to each runner of a lost
  // relay, at the time when it is busiest, although other relays are there.
  it("leaves its runners to the other relays", async () => {
    const { client, clock, countDirect, network, runners, tasks } = setUp(MANY);
    const pollAll = (waitMs: number) =>
      clock.runUntil(
        Promise.all(
          runners.map((runner) => client.poll(runner, { ...POLL, waitMs })),
        ),
        4_000,
      );
    const waiting = pollAll(600);
    network.isolate(RELAY_IDS[0] ?? "");
    const lost = (await waiting).filter(({ isErr }) => isErr);
    assert.ok(lost.length > 0);
    const polled = await pollAll(0);
    assert.ok(polled.every(({ isOk }) => isOk));
    assert.is(countDirect(), 0);
    void tasks.stop();
  });
});

describe("a relay that was suspended", () => {
  // Guards against requests that are carried out after their sender has given
  // them up, at a runner that has started again meanwhile.
  it("carries out no request that may have waited meanwhile", async () => {
    const { client, clock, reached, runners, setLate, tasks } = setUp(MANY);
    setLate(RELAY_CONFIRM_MS);
    const runner = runners[0] ?? createRunner(0);
    const started = await clock.runUntil(
      client.start(runner, createStart(0)),
      1_000,
    );
    assert.ok(started.isErr);
    assert.is(started.error.refusal, undefined);
    assert.equal(reached.spans, []);
    void tasks.stop();
  });

  it("is used while it is only a little late", async () => {
    const { client, clock, runners, setLate, tasks } = setUp(MANY);
    setLate(RELAY_CONFIRM_MS - 1);
    const runner = runners[0] ?? createRunner(0);
    const started = await clock.runUntil(
      client.start(runner, createStart(0)),
      1_000,
    );
    assert.ok(started.isOk);
    void tasks.stop();
  });
});

describe("a relay that is cut off from a runner", () => {
  // Guards against a sound runner that is given up because of its relay.
  it("is not used for it while that lasts", async () => {
    const { client, clock, countDirect, reached, runners, tasks } = setUp(MANY);
    const runner = runners[0] ?? createRunner(0);
    reached.cutIds.add(runner.runnerId);
    const lost = await clock.runUntil(client.poll(runner, POLL), 2_000);
    assert.ok(lost.isErr);
    assert.is(lost.error.refusal, undefined);
    assert.is(countDirect(), 0);
    reached.cutIds.clear();
    const polled = await clock.runUntil(client.poll(runner, POLL), 2_000);
    assert.ok(polled.isOk);
    assert.is(countDirect(), 1);
    void tasks.stop();
  });
});

describe("requests to few runners", () => {
  it("are sent by the leader itself", async () => {
    const { client, clock, countDirect, countMessages, runners, tasks } = setUp(
      MAX_DIRECT_RUNNER_COUNT,
    );
    const runner = runners[0] ?? createRunner(0);
    await clock.runUntil(client.poll(runner, POLL), 1_000);
    assert.is(countDirect(), 1);
    assert.is(countMessages(), 0);
    void tasks.stop();
  });
});

describe("a leader that has started again", () => {
  it("gets no answers to the requests of its previous process", async () => {
    const { client, clock, network, runners, tasks } = setUp(MANY);
    const runner = runners[0] ?? createRunner(0);
    const waiting = client.poll(runner, { ...POLL, waitMs: 500 });
    await clock.advance(50);
    const received: unknown[] = [];
    const restarted = network.join("leader");
    restarted.handle(RELAY_METHODS.answers, (_peerId, body) => {
      received.push(body);
      return Promise.resolve(Result.ok({}));
    });
    for (const relayId of RELAY_IDS) {
      void restarted.call(relayId, RELAY_METHODS.requests, {
        sessionId: "next",
        requests: [],
      }, { timeoutMs: 100 });
    }
    await clock.advance(2_000);
    assert.equal(received, []);
    assert.ok((await waiting).isErr);
    void tasks.stop();
  });

  describe("and whose previous process has sent a late message", () => {
    const setUpLate = async () => {
      const fixture = setUp(MANY);
      const { client, clock, network, relayIdsByRunner, runners } = fixture;
      const runner = runners[0] ?? createRunner(0);
      const polls = runners.map((polled) => client.poll(polled, POLL));
      await clock.runUntil(Promise.all(polls), 1_000);
      const used = new Set(
        [...relayIdsByRunner.values()].flatMap((ids) => [...ids]),
      );
      const restarted = network.join("leader");
      const received: string[] = [];
      restarted.handle(RELAY_METHODS.answers, (_peerId, body) => {
        received.push(v.parse(relayedAnswersSchema, body).sessionId);
        return Promise.resolve(Result.ok({}));
      });
      const send = (relayId: string, sessionId: string, request: object) =>
        restarted.call(relayId, RELAY_METHODS.requests, {
          sessionId,
          requests: [{ callId: 1, runner, ...request }],
        }, { timeoutMs: 100 });
      const poll = { kind: "poll", request: { ...POLL, waitMs: 500 } };
      used.forEach((relayId) => void send(relayId, "next", poll));
      await clock.advance(50);
      const start = { kind: "start", request: createStart(0) };
      const late = [...used].map((relayId) => send(relayId, "session", start));
      return { ...fixture, late, received, used };
    };

    // Guards against starts of a process that has ended at a runner that has
    // started again meanwhile.
    it("has no start of that carried out", async () => {
      const { clock, late, reached, tasks } = await setUpLate();
      const answers = await clock.runUntil(Promise.all(late), 1_000);
      await clock.advance(2_000);
      assert.equal(reached.spans, []);
      assert.ok(answers.every(({ isErr }) => isErr));
      void tasks.stop();
    });

    // Guards against requests whose answers are dropped, so that all runners
    // behind the relay seem not to respond.
    it("gets the answers to its own requests", async () => {
      const { clock, received, tasks, used } = await setUpLate();
      await clock.advance(2_000);
      assert.equal(received, [...used].map(() => "next"));
      void tasks.stop();
    });
  });
});
