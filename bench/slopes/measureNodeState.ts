import { selectEntries } from "../../src/callers/selectEntries";
import { parseDeclaration } from "../../src/declaration/parseDeclaration";
import { AccountIndex } from "../../src/declaration/AccountIndex";
import { FakeClock } from "../../src/kernel/FakeClock";
import { SeededRandom } from "../../src/kernel/SeededRandom";
import type { Member } from "../../src/membership/types";
import { GossipMap } from "../../src/peers/GossipMap";
import { encodeFrame } from "../../src/peers/encodeFrame";
import { EventLog } from "../../src/telemetry/EventLog";
import { eventKinds } from "../../src/telemetry/eventKinds";
import { HybridClock } from "../../src/telemetry/HybridClock";
import { fitLine } from "./fitLine";
import { measureCallMicroseconds, measureHeapBytes } from "./measureOwnUsage";
import type { LinearFit, MeasuredPoint } from "./types";

const vmCounts: readonly number[] = [100, 400, 1_600];
const memberCounts: readonly number[] = [8, 64, 320];
const accountCounts: readonly number[] = [5, 50, 500];
const eventCounts: readonly number[] = [1_024, 4_096, 16_384];
const rounds = 5;

/** Measures the node's state that grows with the numbers of VMs, members, client accounts and events. */
export const measureNodeState = (): LinearFit[] => [
    ...measureGossip(),
    measureEntrySelection(),
    ...measureDeclaration(),
    ...measureEvents(),
];

const createVm = (index: number): unknown => ({
    id: `vm-bhatti-llm-${index}`,
    role: "upstream",
    service: "bhatti-llm",
    dataCentre: `guj-west-${index % 5}`,
    url: `http://10.0.${index % 250}.${index % 200}:8080`,
    state: "live",
    market: "reclaimable",
    machineClass: "gpu-a",
});

const measureGossip = (): LinearFit[] => {
    const memory: MeasuredPoint[] = [];
    const exchange: MeasuredPoint[] = [];
    const merge: MeasuredPoint[] = [];
    for (const size of vmCounts) {
        const source = createGossipMap();
        source.setAll(
            Array.from({ length: size }, (_, index) => ({ key: `vm/vm-${index}`, value: createVm(index) })),
        );
        const text = JSON.stringify(source.listEntries());
        const gossipEntries = JSON.parse(text) as ReturnType<GossipMap["listEntries"]>;
        const fill = (): GossipMap => {
            const map = createGossipMap();
            map.merge(JSON.parse(text) as typeof gossipEntries);
            return map;
        };
        memory.push({ size, value: measureHeapBytes(fill) });
        exchange.push({ size, value: encodeFrame({ entries: gossipEntries }).length });
        merge.push({
            size,
            value: measureCallMicroseconds(rounds, 5, () => createGossipMap().merge(gossipEntries)),
        });
    }
    return [
        fitLine("gossip map heap bytes", "VM", memory),
        fitLine("gossip exchange bytes", "VM", exchange),
        fitLine("gossip merge microseconds", "VM", merge),
    ];
};

const createGossipMap = (): GossipMap =>
    new GossipMap({ nodeId: "bench", hybridClock: new HybridClock(new FakeClock()) });

const measureEntrySelection = (): LinearFit => {
    const random = new SeededRandom(1);
    const points = memberCounts.map(size => {
        const members = Array.from({ length: size }, (_, index): Member => ({
            nodeId: `entry-${index}`,
            dataCentre: `dc-${index % 5}`,
            callersUrl: `http://10.0.0.${index}:8080`,
            peersUrl: "ws://10.0.0.1:1",
            state: "live",
            incarnation: 1,
        }));
        return {
            size,
            value: measureCallMicroseconds(
                rounds,
                500,
                () => JSON.stringify(selectEntries({ members, random })),
            ),
        };
    });
    return fitLine("address answer microseconds", "member", points);
};

const createDeclaration = (accounts: number): unknown => ({
    classes: [{
        name: "c",
        durability: "none",
        latency: { firstTokenMs: 1_100, betweenTokensMs: 40, wholeMs: 60_000 },
    }],
    services: [{ name: "s", kind: "model", checksFencing: true, defaultClass: "c" }],
    clientAccounts: Array.from({ length: accounts }, (_, index) => ({
        id: `account-${index}`,
        keyHashes: [index.toString(16).padStart(64, "0")],
        services: ["s"],
    })),
});

const measureDeclaration = (): LinearFit[] => {
    const bytes: MeasuredPoint[] = [];
    const check: MeasuredPoint[] = [];
    const authenticate: MeasuredPoint[] = [];
    for (const size of accountCounts) {
        const document = createDeclaration(size);
        const declaration = parseDeclaration(document).unsafeCoerce();
        bytes.push({ size, value: encodeFrame(declaration).length });
        check.push({ size, value: measureCallMicroseconds(rounds, 20, () => parseDeclaration(document)) });
        const index = new AccountIndex(declaration.clientAccounts);
        authenticate.push({
            size,
            value: measureCallMicroseconds(rounds, 500, () => index.find("key")),
        });
    }
    return [
        fitLine("configuration bytes", "account", bytes),
        fitLine("configuration check microseconds", "account", check),
        fitLine("authentication microseconds", "account", authenticate),
    ];
};

const emitEvent = (log: EventLog, index: number): void =>
    log.emit(eventKinds.requestAccepted, { requestId: `entry-1.${index}`, account: "a", service: "s" });

const createFilledLog = (events: number): EventLog => {
    const log = new EventLog({ node: "bench", clock: new FakeClock(), maxRetainedEvents: events });
    for (let index = 0; index < events; index += 1) {
        emitEvent(log, index);
    }
    return log;
};

const measureEvents = (): LinearFit[] => {
    const memory: MeasuredPoint[] = [];
    const emit: MeasuredPoint[] = [];
    for (const size of eventCounts) {
        const log = new EventLog({ node: "bench", clock: new FakeClock(), maxRetainedEvents: size });
        const write = (index: number): void => emitEvent(log, index);
        memory.push({ size, value: measureHeapBytes(() => createFilledLog(size)) });
        emit.push({ size, value: measureCallMicroseconds(rounds, 5_000, write) });
    }
    return [
        fitLine("time line heap bytes", "kept event", memory),
        fitLine("event microseconds", "kept event", emit),
    ];
};
