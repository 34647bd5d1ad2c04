import { Result } from "true-myth";
import * as assert from "uvu/assert";
import { createFailure, type Failure } from "../../domain/index.ts";
import type { CallMeasurement } from "../../ports/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLogger } from "../../testing/fake_ports.ts";
import { JobCallForwarder } from "./job_call_forwarder.ts";
import type { JobCall } from "./job_call.ts";
import { createLeaderAnswer } from "./leader_answer.ts";
import { LeaderClient } from "./leader_client.ts";

const CALL: JobCall = {
  action: "submit",
  host: "h",
  path: "/q/0123456789abcdef",
  requestId: "request-1",
};
const WAIT_MS = 500;
const TERM = 3;

function answerWith(value: unknown): Result<unknown, Failure> {
  return Result.ok(createLeaderAnswer(TERM, Result.ok(value)));
}

function setUp(answer: Result<unknown, Failure>) {
  const clock = new FakeClock();
  const logger = new FakeLogger();
  const calls: CallMeasurement[] = [];
  const network = {
    handle: () => undefined,
    call: () => Promise.resolve(answer),
  };
  const leader = new LeaderClient({
    network,
    clock,
    logger,
    controllerIds: ["c1"],
  });
  const metrics = {
    recordCall: (call: CallMeasurement) => calls.push(call),
    recordWait: () => undefined,
    recordRun: () => undefined,
    recordJob: () => undefined,
    countPunctuality: () => undefined,
  };
  const forwarder = new JobCallForwarder({ leader, clock, logger, metrics });
  return { clock, logger, calls, forwarder };
}

describe("job call forwarder", () => {
  it("logs the answer to a submit with its request id", async () => {
    const { calls, forwarder, logger } = setUp(answerWith({ state: "queued" }));
    const answered = await forwarder.forward(CALL, WAIT_MS);
    assert.is(answered.isOk, true);
    const [line] = logger.lines;
    assert.is(line?.message, "answered a caller");
    assert.is(line?.fields["requestId"], "request-1");
    assert.is(line?.fields["leaderId"], "c1");
    assert.is(line?.fields["leaderTerm"], TERM);
    assert.equal(calls.map(({ outcome }) => outcome), ["answered"]);
  });

  it("logs why a caller was refused, even without a leader", async () => {
    const failure = createFailure("notLeader", "c1 does not lead");
    const { calls, clock, forwarder, logger } = setUp(Result.err(failure));
    const answer = forwarder.forward(CALL, WAIT_MS);
    await clock.runUntil(answer, 2 * WAIT_MS);
    const [line] = logger.lines;
    assert.is(line?.message, "refused a caller");
    assert.is(line?.fields["kind"], "notLeader");
    assert.ok(Number(line?.fields["tookMs"]) >= WAIT_MS);
    assert.equal(calls.map(({ outcome }) => outcome), ["notLeader"]);
  });

  it("rejects a malformed answer of the leader", async () => {
    const { forwarder } = setUp(answerWith({ state: "unheard of" }));
    const answered = await forwarder.forward(CALL, WAIT_MS);
    assert.is(answered.isErr && answered.error.kind, "internal");
  });
});
