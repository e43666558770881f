"""The table and the plot of the policy bench."""

from statistics import median

PRODUCT = "adaptive"
HEAD = (
    f"{'scenario':34} {'policy':16} {'attain':>7} {'worst':>6} {'p50':>5} {'p95':>5} "
    f"{'p99':>5} {'ttft':>5} {'cost':>6} {'retry':>6} {'hedge':>6} {'waste':>6} "
    f"{'refuse':>6} {'offer':>6}"
)
BAR_HEIGHT = 9
LABEL_WIDTH = 300
BAR_WIDTH = 420
COLOURS = ("#bbbbbb", "#999999", "#777777", "#555555", "#1f77b4")


def group_results(results):
    """Return results by scenario and then by policy, in order of appearance."""
    groups = {}
    for result in results:
        policies = groups.setdefault(result.scenario, {})
        policies.setdefault(result.policy, []).append(result)
    return groups


def format_table(results):
    """Return the table: medians over seeds, and the worst attainment."""
    lines = [HEAD]
    verdicts = []
    for scenario, policies in group_results(results).items():
        for policy, runs in policies.items():
            lines.append(_format_row(scenario, policy, runs))
        if PRODUCT in policies and len(policies) > 1:
            verdicts.append(_judge(scenario, policies))
    return "\n".join(lines + ["", "aims (medians):"] + verdicts)


def _format_row(scenario, policy, runs):
    def mid(name):
        return median(getattr(run, name) for run in runs)

    worst = min(run.attainment for run in runs)
    offered = max(run.offered_ratio for run in runs)
    return (
        f"{scenario:34} {policy:16} {mid('attainment'):7.4f} {worst:6.3f} "
        f"{mid('p50_s'):5.2f} {mid('p95_s'):5.2f} {mid('p99_s'):5.2f} "
        f"{mid('first_token_s'):5.2f} {mid('cost'):6.3f} {mid('retries'):6.0f} "
        f"{mid('hedges'):6.0f} {mid('wasted'):6.3f} {mid('refusals'):6.0f} "
        f"{offered:6.3f}"
    )


def _judge(scenario, policies):
    """Compare the product with the best baseline; among equals the cheapest."""
    ours = policies[PRODUCT]
    plain = {name: runs for name, runs in policies.items() if name != PRODUCT}
    best = max(plain, key=lambda n: (_attainment(plain[n]), -_cost(plain[n])))
    missed = 1 - _attainment(plain[best])
    gone = 1 - (1 - _attainment(ours)) / missed if missed else 0.0
    gain = _attainment(ours) - _attainment(plain[best])
    cost = _cost(ours) / _cost(plain[best]) - 1
    met = "met" if gain >= 0 and cost <= 0 else "MISSED"
    return (
        f"  {scenario:34} best {best:16} gain {gain:+.4f} missed gone {gone:+.0%} "
        f"cost {cost:+.1%} {met}"
    )


def _attainment(runs):
    return median(run.attainment for run in runs)


def _cost(runs):
    return median(run.cost for run in runs)


def format_details(results):
    """Return attainment by pipeline and account, and cost by stage."""
    lines = []
    for scenario, policies in group_results(results).items():
        lines.append(scenario)
        for policy, runs in policies.items():
            for name in ("by_pipeline", "by_account", "cost_by_stage"):
                lines.append(f"  {policy:16} {name:14} {_format_map(runs, name)}")
    return "\n".join(lines)


def _format_map(runs, name):
    keys = list(getattr(runs[0], name))
    values = {key: median(getattr(r, name).get(key, 0) for r in runs) for key in keys}
    return "  ".join(f"{key} {value:.3f}" for key, value in values.items())


def write_plot(results):
    """Return an SVG with a bar of attainment for each scenario and policy."""
    parts = []
    y = 20
    for scenario, policies in group_results(results).items():
        parts.append(f'<text x="4" y="{y + 20}" font-size="12">{scenario}</text>')
        for (policy, runs), colour in zip(policies.items(), COLOURS, strict=False):
            width = BAR_WIDTH * _attainment(runs)
            parts.append(
                f'<rect x="{LABEL_WIDTH}" y="{y}" width="{width:.1f}" '
                f'height="{BAR_HEIGHT}" fill="{colour}"><title>{policy} '
                f"{_attainment(runs):.4f}</title></rect>"
            )
            y += BAR_HEIGHT + 1
        y += 8
    size = f'width="{LABEL_WIDTH + BAR_WIDTH + 20}" height="{y}"'
    head = f'<svg xmlns="http://www.w3.org/2000/svg" {size} font-family="sans-serif">'
    return "\n".join([head, *parts, "</svg>", ""])
