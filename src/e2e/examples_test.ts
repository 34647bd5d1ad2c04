import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { parse } from "jsonc-parser";
import * as assert from "uvu/assert";
import * as v from "valibot";
import { validateSettings } from "../daemon/settings/index.ts";
import { FleetIndex } from "../decisions/index.ts";
import { FleetState, resourceSchema } from "../domain/index.ts";
import { describe, it } from "../testing/describe.ts";

const EXAMPLES_FOLDER = fileURLToPath(
  new URL("../../examples/", import.meta.url),
);
const ENTRY_COUNT = 9;
const VOTER_COUNT = 5;
const DEPLOYMENTS = [
  { folder: "kalamaki", zoneCount: 3, vmCount: 35 },
  { folder: "cuecatren", zoneCount: 4, vmCount: 40 },
] as const;

const fleetSchema = v.strictObject({ resources: v.array(resourceSchema) });

describe("examples", () => {
  for (const { folder, zoneCount, vmCount } of DEPLOYMENTS) {
    describe(folder, () => {
      const path = join(EXAMPLES_FOLDER, folder);

      it("has valid settings that are consistent across entries", async () => {
        const names = (await readdir(path)).filter((name) =>
          name.startsWith("entry-")
        );
        const all = await Promise.all(names.map(async (name) => {
          const text = await readFile(join(path, name), "utf8");
          const settings = validateSettings(text, name);
          assert.ok(settings.isOk, JSON.stringify(settings));
          return settings.value;
        }));
        assert.is(all.length, ENTRY_COUNT);
        assert.is(new Set(all.map(({ zone }) => zone)).size, zoneCount);
        const voters = all.filter(({ voter }) => voter);
        assert.is(voters.length, VOTER_COUNT);
        for (const settings of all) {
          assert.is(settings.voter, settings.dataFolder !== null);
          for (const peer of settings.peers) {
            const named = all.find(({ entryId }) => entryId === peer.entryId);
            assert.is(named?.peer.host, peer.host);
            assert.is(named?.zone, peer.zone);
            assert.is(named?.voter, peer.voter);
          }
        }
      });

      it("has a fleet in which every VM belongs to a pool", async () => {
        const text = await readFile(join(path, "fleet.jsonc"), "utf8");
        const { resources } = v.parse(fleetSchema, parse(text));
        const state = new FleetState();
        const applied = state.apply({
          type: "change",
          change: {
            operationId: "operation-1",
            expectedRevision: 0,
            puts: resources,
            deletes: [],
          },
          operator: "test",
          atMs: 0,
        });
        assert.ok(applied.isOk);
        const index = new FleetIndex(state);
        const vms = index.listVms();
        assert.is(vms.length, vmCount);
        assert.equal(vms.filter(({ pool }) => pool === undefined), []);
        for (const { resource } of state.list("queue")) {
          assert.ok(index.listPools(resource).length > 0, resource.name);
        }
      });
    });
  }
});
