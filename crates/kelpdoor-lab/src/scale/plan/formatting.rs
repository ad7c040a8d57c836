//! Formatting of numbers and tables on the generated page.

/// Three significant digits with thousands separators.
pub fn number(x: f64) -> String {
    let size = x.abs();
    // Rounding error of sums that are zero.
    if size < 1e-9 {
        return "0".into();
    }
    if !x.is_finite() {
        return "-".into();
    }
    if size >= 1e6 {
        return format!("{} million", trim(x / 1e6));
    }
    if size < 1e-3 {
        return format!("{x:.2e}");
    }
    trim(x)
}

/// Rounds to three significant digits and drops trailing zeros.
fn trim(x: f64) -> String {
    // Rounds first, as rounding up may leave one decimal place less.
    let last = 10f64.powi(x.abs().log10().floor() as i32 - 2);
    let x = if x.abs() < 1000.0 { (x / last).round() * last } else { x };
    let size = x.abs();
    if size >= 1000.0 {
        let keep = 10f64.powi(size.log10().floor() as i32 - 2);
        let keep = if size < 10_000.0 { 1.0 } else { keep };
        let digits = format!("{:.0}", (size / keep).round() * keep);
        let mut out = String::new();
        for (k, c) in digits.chars().enumerate() {
            if k > 0 && (digits.len() - k).is_multiple_of(3) {
                out.push(',');
            }
            out.push(c);
        }
        return if x < 0.0 { format!("-{out}") } else { out };
    }
    let places = (2 - size.log10().floor() as i32).max(0) as usize;
    let text = format!("{x:.places$}");
    if text.contains('.') { text.trim_end_matches('0').trim_end_matches('.').to_owned() } else { text }
}

/// A value with its unit, scaled by powers of 1000 or to a longer unit of time.
pub fn figure(x: f64, unit: &str) -> String {
    let bytes = |x: f64, more: &str| {
        let size = x.abs();
        let (by, name) = match size {
            s if s >= 1e9 => (1e9, "GB"),
            s if s >= 1e6 => (1e6, "MB"),
            s if s >= 1e3 => (1e3, "KB"),
            _ => (1.0, "B"),
        };
        format!("{} {name}{more}", number(x / by))
    };
    match unit {
        "B" => bytes(x, ""),
        "B/s" => bytes(x, "/s"),
        "s" if x.abs() < 1e-3 && x != 0.0 => format!("{} us", number(x * 1e6)),
        "s" if x.abs() < 1.0 && x != 0.0 => format!("{} ms", number(x * 1e3)),
        "s" if x >= 172_800.0 => format!("{} days", number(x / 86_400.0)),
        "s" if x >= 7200.0 => format!("{} h", number(x / 3600.0)),
        "s" if x >= 600.0 => format!("{} min", number(x / 60.0)),
        "core" if x.abs() < 1e-2 && x != 0.0 => format!("{} us/s", number(x * 1e6)),
        "of 1" => number(x),
        "" => number(x),
        _ => format!("{} {unit}", number(x)),
    }
}

/// A Markdown table.
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let line = |cells: Vec<String>| {
        let cells: Vec<String> = cells.iter().map(|c| c.replace('|', "/").replace('\n', " ")).collect();
        format!("| {} |\n", cells.join(" | "))
    };
    let mut out = line(head.iter().map(|h| (*h).to_owned()).collect());
    out += &line(vec!["---".into(); head.len()]);
    for row in rows {
        out += &line(row.clone());
    }
    out
}
