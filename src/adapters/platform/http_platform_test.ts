import * as assert from "uvu/assert";
import { SystemClock } from "../clock/index.ts";
import { SeededRandom } from "../random/index.ts";
import { type AnswerFaults, StandInPlatform } from "../../stand_ins/index.ts";
import { afterEach, beforeEach, describe, it } from "../../testing/index.ts";
import { HttpPlatform } from "./index.ts";

const TIMEOUT_MS = 200;

describe("HTTP platform", () => {
  let standIn: StandInPlatform;
  let platform: HttpPlatform;

  beforeEach(async () => {
    const clock = new SystemClock();
    const random = new SeededRandom(6);
    standIn = new StandInPlatform({ clock, random, rebootMs: 1 });
    standIn.model.addVm("v1", "a", "rack-1");
    await standIn.start();
    platform = new HttpPlatform({ url: standIn.url, timeoutMs: TIMEOUT_MS });
  });

  afterEach(async () => {
    await platform.close();
    await standIn.stop();
  });

  it("lists and drains VMs", async () => {
    const drained = await platform.drain("v1", "step-1");
    assert.ok(drained.isOk);
    const listed = await platform.listVms();
    assert.is(listed.isOk && listed.value[0]?.state, "drained");
  });

  describe("with responses that are", () => {
    // What a command that reached the platform did is unknown without a valid
    // answer. A list has no effect, so that without an answer nothing has run.
    const cases: [string, Partial<AnswerFaults>, string?, string?][] = [
      ["lost", { lostPercent: 100 }, "outcomeUnknown", "peerUnreachable"],
      [
        "late",
        { latePercent: 100, lateMs: 400 },
        "outcomeUnknown",
        "peerUnreachable",
      ],
      ["mismatched", { wrongPercent: 100 }, "outcomeUnknown", "outcomeUnknown"],
      ["duplicated", { doubledPercent: 100 }],
    ];
    for (const [title, faults, commandKind, listKind] of cases) {
      it(`${title}, returns a known result or a failure, and acts once`, async () => {
        standIn.setFaults(faults);
        const drained = await platform.drain("v1", "step-1");
        assert.is(drained.isErr ? drained.error.kind : undefined, commandKind);
        const listed = await platform.listVms();
        assert.is(listed.isErr ? listed.error.kind : undefined, listKind);
        await standIn.model.undrain("v1", "step-2");
        standIn.setFaults({});
        await platform.drain("v1", "step-1");
        assert.is(standIn.model.findState("v1"), "up");
      });
    }
  });

  // Guards against commands that are said not to have run though they may have.
  describe("with a platform that", () => {
    it("fails with status 503, does not say that a command has not run", async () => {
      standIn.setFaults({ failedPercent: 100 });
      const drained = await platform.drain("v1", "step-1");
      assert.is(standIn.model.findState("v1"), "drained");
      assert.is(drained.isErr && drained.error.kind, "outcomeUnknown");
    });

    it("does not listen, says that a command has not run", async () => {
      await standIn.stop();
      const drained = await platform.drain("v1", "step-1");
      assert.is(drained.isErr && drained.error.kind, "peerUnreachable");
      await standIn.start();
    });
  });
});
