import { Result } from "true-myth";
import * as assert from "uvu/assert";
import { MemoryLogStore } from "../adapters/disk/index.ts";
import { SeededRandom } from "../adapters/random/index.ts";
import { isSharedValue } from "../ports/index.ts";
import {
  beforeEach,
  describe,
  FakeClock,
  FakeLogger,
  FakeNetwork,
  it,
} from "../testing/index.ts";
import { AllInSyncCommitRule, MajorityCommitRule } from "./commit_rule.ts";
import type { Leadership } from "./leadership.ts";
import type { PullRequest } from "./messages.ts";
import { PullHandler } from "./pull_handler.ts";
import { ReplicaCore } from "./replica_core.ts";
import { QUORUM_LOSS_TIMEOUT_MS, RECENT_PULL_MS } from "./timing.ts";

const TERM = 3;
const STATUS_COUNT = 100;
const voters = ["a", "b", "c"].map((entryId) => ({
  entryId,
  storeId: `store-${entryId}`,
}));

function createPull(at: number, pull: Partial<PullRequest>): PullRequest {
  return {
    term: TERM,
    storeId: voters[at]?.storeId ?? "",
    hasDisk: true,
    wantsVote: true,
    prevIndex: 0,
    prevTerm: 0,
    commitIndex: 0,
    revision: 0,
    askMs: 0,
    echoMs: 0,
    echoTerm: 0,
    isHurried: false,
    ...pull,
  };
}

describe("leadership", () => {
  let clock: FakeClock;
  let core: ReplicaCore;
  let leadership: Leadership;

  beforeEach(async () => {
    clock = new FakeClock();
    const random = new SeededRandom(1);
    core = new ReplicaCore({
      entryId: "a",
      hasDisk: true,
      wantsVote: true,
      peerIds: ["b", "c"],
      initialVoterIds: ["a", "b", "c"],
      commitRule: new MajorityCommitRule(),
      store: new MemoryLogStore(random),
      network: new FakeNetwork(clock, random).join("a"),
      clock,
      random,
      logger: new FakeLogger(),
    }, {
      vote: { term: TERM, votedFor: "a", storeId: "store-a" },
      snapshot: undefined,
      entries: [
        {
          index: 1,
          term: 1,
          command: { type: "membership", voters, learners: [] },
        },
        { index: 2, term: 2, command: { type: "leader", leaderId: "a" } },
      ],
    });
    await core.becomeLeader([{ type: "leader", leaderId: "a" }]);
    assert.ok(core.leadership);
    leadership = core.leadership;
  });

  it("commits older log entries only with one of its own term", () => {
    const follower = leadership.recordPull("b", createPull(1, {}));
    leadership.recordMatch(follower, 2);
    assert.is(core.commitIndex, 0);
    leadership.recordMatch(follower, 3);
    assert.is(core.commitIndex, 3);
  });

  it("confirms a pull only through responses sent after it arrived", async () => {
    const observer = createPull(9, { storeId: "store-d", askMs: 40 });
    const follower = leadership.recordPull("b", createPull(1, {}));
    leadership.recordMatch(follower, 3);
    await clock.advance(50);
    const requester = leadership.recordPull("d", observer);
    const echo = { echoTerm: TERM, echoMs: 49 };
    leadership.recordPull("b", createPull(1, echo));
    assert.is(leadership.findConfirmedRequestMs(requester), undefined);
    leadership.recordPull("b", createPull(1, { ...echo, echoTerm: 2 }));
    leadership.recordPull("b", createPull(1, { echoMs: 60, echoTerm: 2 }));
    assert.is(leadership.findConfirmedRequestMs(requester), undefined);
    leadership.recordPull("b", createPull(1, { echoMs: 50, echoTerm: TERM }));
    assert.is(leadership.findConfirmedRequestMs(requester), 40);
  });

  it("confirms nothing before a log entry of its own term is committed", () => {
    const echo = { echoMs: 50, echoTerm: TERM };
    const follower = leadership.recordPull("b", createPull(1, echo));
    assert.is(leadership.findConfirmedRequestMs(follower), undefined);
    leadership.recordMatch(follower, 3);
    assert.is(leadership.findConfirmedRequestMs(follower), 0);
  });

  it("does not count a voter that runs with another data folder", () => {
    const other = createPull(1, {
      storeId: "store-new",
      echoMs: 10,
      echoTerm: TERM,
    });
    const follower = leadership.recordPull("b", other);
    leadership.recordMatch(follower, 3);
    assert.is(core.commitIndex, 0);
    assert.is(leadership.confirmedAtMs, -Infinity);
  });

  // Guards against a leader that sorts its voters for each request to a runner.
  // Guards against a new leader that relays through the one that has died.
  it("lists the voters that have pulled lately in its term", async () => {
    assert.equal(leadership.listRunningVoterIds(), []);
    leadership.recordPull("c", createPull(2, {}));
    leadership.recordPull("b", createPull(1, {}));
    leadership.recordPull("d", { ...createPull(1, {}), storeId: "store-d" });
    assert.equal(leadership.listRunningVoterIds(), ["b", "c"]);
    await clock.advance(RECENT_PULL_MS);
    leadership.recordPull("c", createPull(2, {}));
    assert.equal(leadership.listRunningVoterIds(), ["c"]);
  });

  // Guards against a leader that counts the time in which it was the only voter
  // as a lost quorum.
  it("has not lost a quorum that has just got another voter", async () => {
    const setVoters = (count: number) =>
      core.log.append(core.createLogEntries([{
        type: "membership",
        voters: voters.slice(0, count),
        learners: [],
      }]));
    await setVoters(1);
    assert.not(leadership.hasLostQuorum);
    await clock.advance(2 * QUORUM_LOSS_TIMEOUT_MS);
    assert.not(leadership.hasLostQuorum);
    await setVoters(2);
    assert.not(leadership.hasLostQuorum);
    await clock.advance(QUORUM_LOSS_TIMEOUT_MS + 1);
    assert.ok(leadership.hasLostQuorum);
  });

  it("reads the voters once for each response that they confirm", () => {
    let readCount = 0;
    const { membership } = core.log;
    Object.defineProperty(core.log, "membership", {
      value: {
        ...membership,
        voters: membership.voters.map((voter) => ({
          ...voter,
          get storeId() {
            readCount += 1;
            return voter.storeId;
          },
        })),
      },
    });
    leadership.recordPull(
      "b",
      createPull(1, { echoMs: 50, echoTerm: TERM }),
    );
    assert.is(leadership.confirmedAtMs, 0);
    const firstReadCount = readCount;
    for (let index = 0; index < STATUS_COUNT; index += 1) {
      assert.is(leadership.confirmedAtMs, 0);
    }
    assert.is(readCount, firstReadCount);
  });

  // Guards against a leader that encodes each log entry once for each follower.
  it("shares the log entries of its responses to pulls", async () => {
    const pull = createPull(1, { prevIndex: 1, prevTerm: 1 });
    const response = await new PullHandler(core).handlePull("b", pull);
    const sent = response.map((value) =>
      value.type === "entries" ? value.entries : []
    ).unwrapOr([]);
    assert.is(sent.length, 2);
    assert.ok(sent.every(isSharedValue));
  });

  it("fails pending proposals with an unknown outcome when it ends", () => {
    const settled: string[] = [];
    leadership.onApplied(3, (proposed) => {
      settled.push(proposed.isErr ? proposed.error.kind : "accepted");
    });
    core.stepDown("requested by the test");
    leadership.settle(3, Result.ok({ revision: 1 }));
    assert.equal(settled, ["noQuorum"]);
  });
});

describe("commit rules", () => {
  const positions = [
    { matchIndex: 9, lagMs: 0 },
    { matchIndex: 7, lagMs: 10 },
    { matchIndex: 2, lagMs: 900 },
  ];

  it("commit what a majority holds, or what all in-sync voters hold", () => {
    assert.is(new MajorityCommitRule().findCommitIndex(positions), 7);
    assert.is(new AllInSyncCommitRule(1_000).findCommitIndex(positions), 2);
    assert.is(new AllInSyncCommitRule(500).findCommitIndex(positions), 7);
  });
});
