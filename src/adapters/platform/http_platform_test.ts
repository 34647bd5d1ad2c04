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
    const cases: [string, Partial<AnswerFaults>, string | undefined][] = [
      ["lost", { lostPercent: 100 }, "peerUnreachable"],
      ["late", { latePercent: 100, lateMs: 400 }, "peerUnreachable"],
      ["mismatched", { wrongPercent: 100 }, "outcomeUnknown"],
      ["duplicated", { doubledPercent: 100 }, undefined],
    ];
    for (const [title, faults, kind] of cases) {
      it(`${title}, returns a known result or a failure, and acts once`, async () => {
        standIn.setFaults(faults);
        const drained = await platform.drain("v1", "step-1");
        assert.is(drained.isErr ? drained.error.kind : undefined, kind);
        const listed = await platform.listVms();
        assert.is(listed.isErr ? listed.error.kind : undefined, kind);
        await standIn.model.undrain("v1", "step-2");
        standIn.setFaults({});
        await platform.drain("v1", "step-1");
        assert.is(standIn.model.findState("v1"), "up");
      });
    }
  });
});
