import * as assert from "uvu/assert";
import { describe, FakeCluster, it } from "../testing/index.ts";
import { MIN_ELECTION_TIMEOUT_MS } from "./timing.ts";

const VOTERS = ["a", "b", "c"];
const SEED = 20_601;
const SILENCE_MS = 4_000;

describe("log lines about leases", () => {
  // Guards against two lease holders that the logs cannot tell from a lost
  // change.
  it("tell when a lease was held, had lapsed, and who voted why", async () => {
    const cluster = new FakeCluster({ seed: SEED, voterIds: VOTERS });
    await cluster.start();
    const leaderId = await cluster.waitForLeader();
    await cluster.clock.advance(SILENCE_MS);
    cluster.network.isolate(leaderId);
    await cluster.clock.advance(SILENCE_MS);

    const { lines } = cluster.find(leaderId).logger;
    const own = lines.filter(({ message }) => message.includes("leader lease"));
    assert.equal(own.map(({ message }) => message), [
      "holds the leader lease",
      "the leader lease has lapsed",
    ]);
    const { term } = cluster.replica(leaderId).status();
    assert.equal(own.map(({ fields }) => fields["term"]), [term, term]);

    const votes = VOTERS.filter((id) => id !== leaderId)
      .flatMap((id) => cluster.find(id).logger.lines)
      .filter(({ message, fields }) =>
        message === "granted a vote" && Number(fields["candidateTerm"]) > term
      );
    assert.ok(votes.length > 0);
    for (const { fields } of votes) {
      assert.ok(Number(fields["sinceContactMs"]) >= MIN_ELECTION_TIMEOUT_MS);
    }
  });

  // Guards against a group without a leader whose logs do not tell which voters
  // it lacks.
  it("tell which voters granted their votes where there is no majority", async () => {
    const cluster = new FakeCluster({ seed: SEED, voterIds: VOTERS });
    await cluster.start();
    await cluster.waitForLeader();
    ["a", "b"].forEach((entryId) => cluster.crash(entryId));
    await cluster.clock.advance(SILENCE_MS);
    const line = cluster.find("c").logger.lines.find(({ message }) =>
      message === "found no majority for an election"
    );
    assert.equal(line?.fields["grantedIds"], ["c"]);
    assert.equal(line?.fields["voterIds"], VOTERS);
    assert.is(line?.fields["quorumCount"], 2);
  });
});
