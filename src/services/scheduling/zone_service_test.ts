import { Result } from "true-myth";
import * as assert from "uvu/assert";
import {
  type AppliedValue,
  type Command,
  createFailure,
  type Failure,
} from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeAgreement } from "../../testing/fake_agreement.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLogger } from "../../testing/fake_ports.ts";
import { SchedulingLog } from "./scheduling_log.ts";
import { ZoneService } from "./zone_service.ts";

const WAIT_MS = 1_000;
const SLOW_COMMIT_MS = 500;
const GIVE_UP_MS = 200;
const OUT = { zone: "zone-a", isOut: true };
const BACK = { zone: "zone-a", isOut: false };

/** Gives up waiting for a commit that still takes place, in its order. */
class ImpatientAgreement extends FakeAgreement {
  /** Time after which a proposal fails with an unknown outcome (ms). */
  giveUpMs = Infinity;
  readonly #sleeper: FakeClock;

  constructor(clock: FakeClock) {
    super(clock);
    this.#sleeper = clock;
  }

  override async propose(
    command: Command,
  ): Promise<Result<AppliedValue, Failure>> {
    const giveUp = async () => {
      await this.#sleeper.sleep(this.giveUpMs);
      return Result.err<AppliedValue, Failure>(
        createFailure("noQuorum", "no quorum answered in time"),
      );
    };
    return await Promise.race([super.propose(command), giveUp()]);
  }
}

function createService() {
  const clock = new FakeClock();
  const agreement = new ImpatientAgreement(clock);
  const logger = new FakeLogger();
  const startLeader = (term: number) =>
    new ZoneService({
      log: new SchedulingLog({ agreement, clock, term }),
      logger,
      fencingToken: term,
    });
  const run = <T>(promise: Promise<T>) => clock.runUntil(promise, WAIT_MS);
  const { zonesOut } = agreement.state.scheduling;
  const service = startLeader(1);
  return { agreement, clock, run, service, startLeader, zonesOut };
}

describe("orders about zones", () => {
  it("take a zone out and back; a repeated order changes nothing", async () => {
    const { agreement, run, service, zonesOut } = createService();
    const send = async (order: typeof OUT) => {
      const ticket = service.issueTicket();
      const done = await run(service.setZone({ ...order, ticket }));
      assert.ok(done.isOk);
    };
    await send(OUT);
    await send(OUT);
    assert.is(agreement.commands.length, 1);
    assert.ok(zonesOut.has("zone-a"));
    await send(BACK);
    assert.is(zonesOut.size, 0);
  });

  it("without a ticket are refused", async () => {
    const { run, service } = createService();
    const refused = await run(service.setZone(OUT));
    assert.is(refused.isErr && refused.error.kind, "invalidInput");
  });

  // Guards against work in a zone that has been taken out again: a copy of the
  // withdrawal in between arrived late and was carried out once more.
  it("are refused when others were carried out since their ticket", async () => {
    const { run, service, zonesOut } = createService();
    await run(service.setZone({ ...OUT, ticket: service.issueTicket() }));
    const late = { ...BACK, ticket: service.issueTicket() };
    await run(service.setZone({ ...BACK, ticket: service.issueTicket() }));
    await run(service.setZone({ ...OUT, ticket: service.issueTicket() }));
    const refused = await run(service.setZone(late));
    assert.is(refused.isErr && refused.error.kind, "expired");
    assert.ok(zonesOut.has("zone-a"));
  });

  // Guards against work in a zone whose evacuation was acknowledged because it
  // was out already: an earlier order to take it back was carried out after that.
  it("are refused when others changed nothing since their ticket", async () => {
    const { run, service, zonesOut } = createService();
    await run(service.setZone({ ...OUT, ticket: service.issueTicket() }));
    const late = { ...BACK, ticket: service.issueTicket() };
    const again = { ...OUT, ticket: service.issueTicket() };
    assert.ok((await run(service.setZone(again))).isOk);
    const refused = await run(service.setZone(late));
    assert.is(refused.isErr && refused.error.kind, "expired");
    assert.ok(zonesOut.has("zone-a"));
  });

  it("with a ticket of an earlier leader are refused", async () => {
    const { run, service, startLeader, zonesOut } = createService();
    await run(service.setZone({ ...OUT, ticket: service.issueTicket() }));
    const next = startLeader(2);
    const ticket = { ...next.issueTicket(), term: 1 };
    const refused = await run(next.setZone({ ...BACK, ticket }));
    assert.is(refused.isErr && refused.error.kind, "expired");
    assert.ok(zonesOut.has("zone-a"));
  });

  describe("while another one is being recorded", () => {
    it("are recorded after it", async () => {
      const { run, service, zonesOut } = createService();
      const first = service.setZone({ ...OUT, ticket: service.issueTicket() });
      const second = service.setZone({
        ...BACK,
        ticket: service.issueTicket(),
      });
      await run(Promise.all([first, second]));
      assert.is(zonesOut.size, 0);
    });

    it("are refused if their ticket is older", async () => {
      const { run, service } = createService();
      const ticket = service.issueTicket();
      const first = service.setZone({ ...OUT, ticket });
      const refused = await run(service.setZone({ ...BACK, ticket }));
      assert.is(refused.isErr && refused.error.kind, "expired");
      assert.ok((await run(first)).isOk);
    });
  });

  describe("after one whose outcome is unknown", () => {
    const setUpUnknown = async () => {
      const fixture = createService();
      const { agreement, run, service } = fixture;
      await run(service.setZone({ ...OUT, ticket: service.issueTicket() }));
      agreement.proposeMs = SLOW_COMMIT_MS;
      agreement.giveUpMs = GIVE_UP_MS;
      const back = { ...BACK, ticket: service.issueTicket() };
      const unknown = await run(service.setZone(back));
      assert.is(unknown.isErr && unknown.error.kind, "noQuorum");
      return fixture;
    };

    // Guards against work in a zone whose evacuation was acknowledged: the zone
    // was still out, and was taken back by the order that had no answer.
    it("hold once they are acknowledged", async () => {
      const { agreement, clock, run, service, zonesOut } = await setUpUnknown();
      agreement.giveUpMs = Infinity;
      const out = { ...OUT, ticket: service.issueTicket() };
      assert.ok((await run(service.setZone(out))).isOk);
      await clock.advance(2 * SLOW_COMMIT_MS);
      assert.ok(zonesOut.has("zone-a"));
    });

    it("are not acknowledged while none is recorded", async () => {
      const { run, service } = await setUpUnknown();
      for (let attempt = 0; attempt < 2; attempt += 1) {
        const out = { ...OUT, ticket: service.issueTicket() };
        const sent = await run(service.setZone(out));
        assert.is(sent.isErr && sent.error.kind, "noQuorum");
      }
    });

    it("need no entry once one is recorded", async () => {
      const { agreement, run, service } = await setUpUnknown();
      agreement.giveUpMs = Infinity;
      const send = async () => {
        const out = { ...OUT, ticket: service.issueTicket() };
        assert.ok((await run(service.setZone(out))).isOk);
      };
      await send();
      const entryCount = agreement.commands.length;
      await send();
      assert.is(agreement.commands.length, entryCount);
    });
  });
});
