import { hashText } from "../src/_lib/hashText";
import { StandInCluster, type StandInClusterOptions } from "../standins/StandInCluster";
import { benchAccount } from "./benchCredentials";

/** URLs of the stand-ins; the process prints them as one JSON line when it is ready. */
export interface StandInAddresses {
    readonly tables: string;
    readonly objects: string;
    readonly cloud: string;
    readonly engines: readonly string[];
    readonly plains: readonly string[];
}

const main = async (): Promise<void> => {
    const options = JSON.parse(process.argv[2]) as StandInClusterOptions;
    const cluster = new StandInCluster(options);
    await cluster.start();
    const declaration = {
        classes: [{
            name: "drafting",
            durability: "survives-reclaim",
            latency: { firstTokenMs: 60_000, betweenTokensMs: 1_000, wholeMs: 600_000 },
        }],
        services: [
            { name: "llm", kind: "model", checksFencing: true, defaultClass: "drafting", models: [] },
            { name: "roster", kind: "plain", defaultClass: "drafting", calls: [] },
        ],
        clientAccounts: [{
            id: "bench",
            keyHashes: [hashText(benchAccount.key)],
            services: ["llm", "roster"],
        }],
    };
    const value = { revision: 1, changeId: "bench", committedAtMs: 0, declaration };
    cluster.tables.tables.commit([
        { table: "configuration", key: "current", condition: { kind: "absent" }, value },
    ]);
    const addresses: StandInAddresses = {
        tables: cluster.tables.server.url,
        objects: cluster.objects.server.url,
        cloud: cluster.cloud.server.url,
        engines: cluster.runners.flatMap(runner => runner.engine ? [runner.vm.url] : []),
        plains: cluster.runners.flatMap(runner => runner.plain ? [runner.vm.url] : []),
    };
    console.log(JSON.stringify(addresses));
};

void main();
