import { Result } from "true-myth";
import * as assert from "uvu/assert";
import {
  createFailure,
  type Failure,
  type Runner,
} from "../../domain/index.ts";
import type { Agreement, AgreementStatus } from "../../ports/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeAgreement } from "../../testing/fake_agreement.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLogger } from "../../testing/fake_ports.ts";
import { RunnerAnnouncer } from "./runner_announcer.ts";
import { SCHEDULING_METHODS } from "./scheduling_handlers.ts";
import { CONTACT_GATHER_MS } from "./timing.ts";

const RUNNER_COUNT = 50;
const HEARTBEAT_MS = 1_500;
const TIMEOUT_MS = 900;

/** The agreement as a controller sees it that follows another one. */
class FollowerAgreement extends FakeAgreement implements Agreement {
  override status(): AgreementStatus {
    return {
      ...super.status(),
      entryId: "follower",
      leaderId: "leader",
      leaderSinceMs: undefined,
    };
  }
}

function createRunner(index: number): Runner {
  return {
    runnerId: `i-${index}`,
    bornAtMs: 1,
    address: "10.0.0.9:80",
    pool: "bay",
    zone: "zone-a",
    capacity: { cpuMillicores: 8_000, memoryMb: 1_000, gpuCount: 0 },
    rack: "r1",
    labels: ["a", "r1"],
    isDraining: false,
  };
}

interface Setup {
  readonly announcer: RunnerAnnouncer;
  readonly agreement: FollowerAgreement;
  readonly clock: FakeClock;
  readonly runners: readonly Runner[];
  /** Calls of the leader, in order. */
  readonly calls: { readonly method: string; readonly body: unknown }[];
  readonly logger: FakeLogger;
  failure: Failure | undefined;
}

function setUp(maxDirectRunnerCount: number): Setup {
  const clock = new FakeClock();
  const agreement = new FollowerAgreement(clock);
  const logger = new FakeLogger();
  const runners = Array.from(
    { length: RUNNER_COUNT },
    (_, at) => createRunner(at),
  );
  agreement.state.apply({
    type: "scheduling",
    atMs: 0,
    operations: runners.map((runner) => ({ type: "runner", runner })),
  });
  const calls: Setup["calls"] = [];
  const setup: Setup = {
    announcer: new RunnerAnnouncer({
      agreement,
      leader: {
        leaderId: "leader",
        leaderTerm: 1,
        call: (method, body) => {
          calls.push({ method, body });
          const { failure } = setup;
          return Promise.resolve(
            failure === undefined ? Result.ok({}) : Result.err(failure),
          );
        },
      },
      clock,
      logger,
      maxDirectRunnerCount,
    }),
    agreement,
    clock,
    runners,
    calls,
    logger,
    failure: undefined,
  };
  void setup.announcer.run(new AbortController().signal);
  return setup;
}

describe("announcements of many runners that change nothing", () => {
  // Guards against a leader that handles a request for each heartbeat of each
  // runner while it is short of processor time.
  it("reach the leader in one report", async () => {
    const { announcer, calls, clock, runners } = setUp(RUNNER_COUNT - 1);
    for (const runner of runners) {
      assert.ok((await announcer.announce(runner, TIMEOUT_MS)).isOk);
    }
    await clock.advance(HEARTBEAT_MS);
    assert.equal(calls.map(({ method }) => method), [
      SCHEDULING_METHODS.contacts,
    ]);
    assert.equal(calls[0]?.body, {
      runners: runners.map(({ runnerId, bornAtMs }) => ({
        runnerId,
        bornAtMs,
      })),
    });
  });

  it("are passed on while the controller does not follow a leader", async () => {
    const { agreement, announcer, calls, runners } = setUp(0);
    agreement.freshUntilMs = -1;
    await announcer.announce(runners[0] ?? createRunner(0), TIMEOUT_MS);
    assert.is(calls[0]?.method, SCHEDULING_METHODS.announce);
  });

  it("leave a line when the report fails", async () => {
    const setup = setUp(0);
    setup.failure = createFailure("notLeader", "no leader");
    await setup.announcer.announce(createRunner(0), TIMEOUT_MS);
    await setup.clock.advance(CONTACT_GATHER_MS + 1);
    assert.is(setup.logger.lines.length, 1);
  });
});

describe("an announcement that changes something", () => {
  const changes: readonly Partial<Runner>[] = [
    { isDraining: true },
    { bornAtMs: 2 },
    { runnerId: "new" },
    { address: "10.0.0.10:80" },
    { labels: ["b", "r1"] },
  ];
  for (const change of changes) {
    it(`is passed on to the leader: ${JSON.stringify(change)}`, async () => {
      const { announcer, calls } = setUp(0);
      const runner = { ...createRunner(0), ...change };
      await announcer.announce(runner, TIMEOUT_MS);
      assert.equal(calls, [{
        method: SCHEDULING_METHODS.announce,
        body: runner,
      }]);
    });
  }

  it("fails when the leader is not reached", async () => {
    const setup = setUp(0);
    setup.failure = createFailure("notLeader", "no leader");
    const draining = { ...createRunner(0), isDraining: true };
    const announced = await setup.announcer.announce(draining, TIMEOUT_MS);
    assert.ok(announced.isErr);
  });
});

describe("a late announcement of a runner that has ended", () => {
  // Guards against a leader that handles many announcements that had waited at
  // a suspended controller.
  it("is not passed on once the controller knows", async () => {
    const { agreement, announcer, calls, runners } = setUp(0);
    const [runner = createRunner(0)] = runners;
    const { runnerId, bornAtMs } = runner;
    agreement.state.apply({
      type: "scheduling",
      atMs: 0,
      operations: [{ type: "runnerGone", runnerId, bornAtMs, fate: "ended" }],
    });
    assert.ok((await announcer.announce(runner, TIMEOUT_MS)).isOk);
    assert.equal(calls, []);
    agreement.freshUntilMs = -1;
    await announcer.announce(runner, TIMEOUT_MS);
    assert.is(calls[0]?.method, SCHEDULING_METHODS.announce);
  });
});

describe("announcements of few runners", () => {
  it("are passed on to the leader", async () => {
    const { announcer, calls, runners } = setUp(RUNNER_COUNT);
    await announcer.announce(runners[0] ?? createRunner(0), TIMEOUT_MS);
    assert.is(calls[0]?.method, SCHEDULING_METHODS.announce);
  });
});
