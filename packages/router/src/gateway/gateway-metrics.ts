import { addressChoices, shortageCauses } from "@gooseberrybend/core/dispatch";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { suspectEvents } from "./poison-request-tracker.js";
import { tokenEvents } from "./prepaid-log.js";
import { refusalStatus } from "./refusal.js";
import { resourceEvents } from "./request-memory.js";

const FIRST_BYTE_BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1, 2, 5];
const CHANGES_AGE_BUCKETS_SECONDS = [0.2, 0.5, 1, 1.5, 2, 2.5, 3, 4, 6, 10];
const REQUEST_BUCKETS_SECONDS = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 15];

/** Events of the request limits of endpoints, as counted in the metrics. */
export const limitEvents = [
    "stated",
    "ended",
    "unreadable",
    "heard",
    "shared",
    "not-shared",
    "cold",
    "warm",
    "cold-unreadable",
] as const;

/** Event of the request limit of an endpoint. */
export type LimitEvent = typeof limitEvents[number];

/** Decisions about requests while capacity was short or their deadlines could not be met, as counted in the metrics. */
export const admissionOutcomes = ["admitted", "deadline-unreachable", "account-over-share"] as const;

/** Decision about a request for which capacity was short. */
export type AdmissionOutcome = typeof admissionOutcomes[number];

/** What happened to requests that would have left the router too late, as counted in the metrics. */
export const lateSendOutcomes = ["not-started", "reset"] as const;

/** What happened to a request that would have left the router too late. */
export type LateSendOutcome = typeof lateSendOutcomes[number];

/** How responses of endpoints end, as counted in the metrics. */
export const responseEnds = ["complete", "connection-closed", "broken"] as const;

/** Metrics of a router that serves a deployment. Labels are reasons and outcomes only. */
export type GatewayMetrics = ReturnType<typeof createGatewayMetrics>;

/** Creates the metrics and their registry. */
export function createGatewayMetrics() {
    const registry = new Registry();
    const registers = [registry];
    const counter = <Label extends string>(name: string, help: string, labelNames: Label[]): Counter<Label> =>
        new Counter({ name: `gooseberrybend_${name}`, help, labelNames, registers });
    const gauge = (name: string, help: string): Gauge => new Gauge({ name: `gooseberrybend_${name}`, help, registers });
    const refusals = counter("refusals_total", "Refused requests by cause.", ["cause"]);
    Object.keys(refusalStatus).forEach((cause) => refusals.inc({ cause }, 0));
    const suspects = counter("suspect_events_total", "What happened to requests that may crash endpoints.", ["event"]);
    suspectEvents.forEach((event) => suspects.inc({ event }, 0));
    const limits = counter("endpoint_limit_events_total", "What happened to the request limits of endpoints.", [
        "event",
    ]);
    limitEvents.forEach((event) => limits.inc({ event }, 0));
    const admissions = counter("admission_decisions_total", "Decisions about requests while capacity was short.", [
        "outcome",
    ]);
    admissionOutcomes.forEach((outcome) => admissions.inc({ outcome }, 0));
    const lateSends = counter("late_sends_total", "Requests that would have left the router too late.", ["outcome"]);
    lateSendOutcomes.forEach((outcome) => lateSends.inc({ outcome }, 0));
    const prepaidTokens = counter("prepaid_tokens_total", "Prepaid tokens by what happened to them.", ["event"]);
    tokenEvents.forEach((event) => prepaidTokens.inc({ event }, 0));
    const shortages = counter("prepaid_shortages_total", "Requests refused for tokens by where these are.", ["tokens"]);
    shortageCauses.forEach((cause) => shortages.inc({ tokens: cause }, 0));
    const resources = counter("resource_events_total", "What the limits of memory and connections did.", ["event"]);
    resourceEvents.forEach((event) => resources.inc({ event }, 0));
    const responses = counter("endpoint_responses_total", "Responses of endpoints by how they ended.", ["end"]);
    responseEnds.forEach((end) => responses.inc({ end }, 0));
    const addressAnswers = counter("address_answers_total", "Answers to address queries by choice of the routers.", [
        "choice",
    ]);
    addressChoices.forEach((choice) => addressAnswers.inc({ choice }, 0));
    return {
        registry,
        refusals,
        suspects,
        limits,
        admissions,
        lateSends,
        prepaidTokens,
        shortages,
        resources,
        responses,
        addressAnswers,
        endpointRefusals: counter(
            "endpoint_refusals_total",
            "Responses that state that the request did not run, by request id and connection.",
            ["id", "connection"],
        ),
        failedSends: counter("failed_sends_total", "Failed sends by failure and what followed.", ["failure", "next"]),
        cutAnswers: counter("cut_answers_total", "Answers that ended before they were whole.", []),
        endedRequests: counter("requests_total", "Ended requests by outcome.", ["outcome"]),
        storeCalls: counter("store_calls_total", "Calls to the store by operation and result.", [
            "operation",
            "result",
        ]),
        configurationVersion: gauge("configuration_version", "Version of the configuration in force."),
        chargedBytes: gauge("charged_bytes", "Bytes that requests hold in this router."),
        endpoints: gauge("endpoints", "Endpoints that are known."),
        acceptedConnections: counter("accepted_connections_total", "Accepted connections of callers.", []),
        eventLoopTurns: counter("event_loop_turns_total", "Turns of the event loop, if Node.js reports them.", []),
        movesCallers: gauge("moves_callers", "1 while the router is not ready so that callers move to others, else 0."),
        evacuatedDomains: gauge("evacuated_domains", "Failure domains that are evacuated."),
        members: gauge("fleet_members", "Routers that are known."),
        firstByteSeconds: new Histogram({
            name: "gooseberrybend_first_byte_seconds",
            help: "Time from arrival to the first byte of a stream.",
            buckets: FIRST_BYTE_BUCKETS_SECONDS,
            registers,
        }),
        changesAgeSeconds: new Histogram({
            name: "gooseberrybend_changes_age_seconds",
            help: "Age of the router's view of the store at each send.",
            buckets: CHANGES_AGE_BUCKETS_SECONDS,
            registers,
        }),
        configurationAgeSeconds: new Histogram({
            name: "gooseberrybend_configuration_age_seconds",
            help: "Age of the configuration in force at each send.",
            buckets: CHANGES_AGE_BUCKETS_SECONDS,
            registers,
        }),
        unreadSeconds: new Histogram({
            name: "gooseberrybend_unread_seconds",
            help: "Estimated time that requests lay unread at this router.",
            buckets: REQUEST_BUCKETS_SECONDS,
            registers,
        }),
        callerGoneSeconds: new Histogram({
            name: "gooseberrybend_caller_gone_seconds",
            help: "Time from reading a request until its caller left without a response.",
            buckets: REQUEST_BUCKETS_SECONDS,
            registers,
        }),
        requestSeconds: new Histogram({
            name: "gooseberrybend_request_seconds",
            help: "Time from arrival to the end of a request.",
            buckets: REQUEST_BUCKETS_SECONDS,
            registers,
        }),
    };
}
