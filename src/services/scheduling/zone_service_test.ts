import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { FakeAgreement } from "../../testing/fake_agreement.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLogger } from "../../testing/fake_ports.ts";
import { SchedulingLog } from "./scheduling_log.ts";
import { ZoneService } from "./zone_service.ts";

const WAIT_MS = 1_000;
const OUT = { zone: "zone-a", isOut: true };
const BACK = { zone: "zone-a", isOut: false };

function createService() {
  const clock = new FakeClock();
  const agreement = new FakeAgreement(clock);
  const logger = new FakeLogger();
  const startLeader = (term: number) =>
    new ZoneService({
      log: new SchedulingLog({ agreement, clock, term }),
      logger,
      fencingToken: term,
    });
  const run = <T>(promise: Promise<T>) => clock.runUntil(promise, WAIT_MS);
  const { zonesOut } = agreement.state.scheduling;
  return { agreement, run, service: startLeader(1), startLeader, zonesOut };
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
});
